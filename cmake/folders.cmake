# One library a folder of src/, made of every .cpp below it. main.cpp is the
# program's. A folder of headers alone becomes an interface library.

function(stoneport_library folder options)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${folder}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  set(libraries ${ARGN})
  list(TRANSFORM libraries PREPEND stoneport_)
  if(sources)
    add_library(stoneport_${folder} STATIC ${sources})
    target_link_libraries(stoneport_${folder} PUBLIC ${options} ${libraries})
  else()
    add_library(stoneport_${folder} INTERFACE)
    target_link_libraries(stoneport_${folder} INTERFACE ${options} ${libraries})
  endif()
endfunction()

function(stoneport_plain_library folder)
  stoneport_library(${folder} stoneport_plain_options ${ARGN})
endfunction()

# Network targets share one precompiled header, built with stoneport_http.
function(stoneport_network_library folder)
  stoneport_library(${folder} stoneport_network_options ${ARGN})
  get_target_property(type stoneport_${folder} TYPE)
  if(folder STREQUAL "http")
    target_precompile_headers(stoneport_http PRIVATE ${CMAKE_SOURCE_DIR}/src/http/precompiled.hpp)
  elseif(NOT type STREQUAL "INTERFACE_LIBRARY")
    target_precompile_headers(stoneport_${folder} REUSE_FROM stoneport_http)
  endif()
endfunction()

function(stoneport_program name folder)
  add_executable(${name} ${CMAKE_SOURCE_DIR}/src/${folder}/main.cpp)
  target_link_libraries(${name} PRIVATE stoneport_${folder})
  target_precompile_headers(${name} REUSE_FROM stoneport_http)
endfunction()
