# The libraries the project is built on; scripts/install-deps.sh installs them.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(spdlog REQUIRED)
find_package(cxxopts REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_package(PkgConfig REQUIRED)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)

add_library(stoneport_plain_options INTERFACE)
target_include_directories(stoneport_plain_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(stoneport_plain_options INTERFACE
  Boost::headers nlohmann_json::nlohmann_json spdlog::spdlog cxxopts::cxxopts
  tomlplusplus::tomlplusplus prometheus-cpp::core PkgConfig::xxhash Threads::Threads)

add_library(stoneport_network_options INTERFACE)
target_link_libraries(stoneport_network_options INTERFACE stoneport_plain_options)
target_compile_definitions(stoneport_network_options INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED BOOST_BEAST_SEPARATE_COMPILATION)
