# Warnings, sanitizers and the compiler cache, for every target.
add_compile_options(-Wall -Wextra -Wpedantic -Wno-missing-field-initializers)
# g++ 12 inlines Asio's operator new of a coroutine frame down to aligned_alloc()
# but not the operator delete that belongs to it and ends in free(), and takes the
# two for a mismatch. Sanitizers check real mismatches.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  add_compile_options(-Wno-mismatched-new-delete)
endif()

set(STONEPORT_SANITIZE "" CACHE STRING "Sanitizers, as -fsanitize takes them; empty for none")
if(STONEPORT_SANITIZE)
  add_compile_options(-fsanitize=${STONEPORT_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${STONEPORT_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  add_compile_options(-fpch-preprocess)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env
      CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=true
      ${CCACHE_PROGRAM})
endif()
