# Option structs are built with designated initialisers that leave members at their defaults.
set(laburnumreach_warnings
    -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers
    # Boost.Accumulators triggers a false positive of this warning when it is inlined.
    -Wno-maybe-uninitialized
)

# Defines the library laburnumreach::<name> of one package.
#
# laburnumreach_package(<name> [INSTALLED] [DEPENDS <target>...] [PRIVATE_DEPENDS <target>...])
# Sources are packages/<name>/src/*.cpp, public headers packages/<name>/include, and tests packages/<name>/tests/*.cpp.
# INSTALLED marks a package that is part of the library for embedding.
function(laburnumreach_package name)
  cmake_parse_arguments(arg "INSTALLED" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  set(scope PUBLIC)
  if(sources)
    add_library(laburnumreach_${name} STATIC ${sources})
    target_compile_options(laburnumreach_${name} PRIVATE ${laburnumreach_warnings} -Wshadow=local)
  else()
    add_library(laburnumreach_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(laburnumreach::${name} ALIAS laburnumreach_${name})
  target_include_directories(
    laburnumreach_${name} ${scope} $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
                                   $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
  )
  target_compile_features(laburnumreach_${name} ${scope} cxx_std_20)
  target_link_libraries(laburnumreach_${name} ${scope} ${arg_DEPENDS})
  if(arg_PRIVATE_DEPENDS)
    target_link_libraries(laburnumreach_${name} PRIVATE ${arg_PRIVATE_DEPENDS})
  endif()
  if(arg_INSTALLED)
    set_target_properties(laburnumreach_${name} PROPERTIES EXPORT_NAME ${name})
    install(TARGETS laburnumreach_${name} EXPORT laburnumreach_targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
  laburnumreach_tests(${name})
endfunction()

# Builds packages/<name>/tests/*.cpp into one CppUnit program and registers it with CTest.
#
# laburnumreach_tests(<name> [<further target>...])
function(laburnumreach_tests name)
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  if(NOT tests OR NOT BUILD_TESTING)
    return()
  endif()
  add_executable(${name}_tests ${tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp)
  target_compile_options(${name}_tests PRIVATE ${laburnumreach_warnings})
  target_compile_definitions(${name}_tests PRIVATE KNOWN_RED_FILE="${PROJECT_SOURCE_DIR}/KNOWN-RED.txt")
  target_link_libraries(${name}_tests PRIVATE laburnumreach::${name} cppunit ${ARGN})
  target_include_directories(${name}_tests PRIVATE tests)
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
