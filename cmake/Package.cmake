# Defines the library and the doctest program of one package.
#
#   monsoonward_package(NAME LINK lib ...)
#
# The library `monsoonward_NAME` has all src/*.cpp except *_test.cpp; its public headers are in include/.
# The test program `NAME_test` has all src/*_test.cpp; ctest runs it with a fixed RapidCheck seed.
function(monsoonward_package name)
  cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS src/*_test.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  add_library(monsoonward_${name} STATIC ${sources})
  target_include_directories(monsoonward_${name} PUBLIC include)
  target_link_libraries(monsoonward_${name} PUBLIC ${arg_LINK})
  if(tests AND NOT MONSOONWARD_FUZZ AND NOT MONSOONWARD_GATEWAY_ONLY)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE src)
    target_link_libraries(${name}_test PRIVATE monsoonward_${name} monsoonward_doctest rapidcheck)
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES ENVIRONMENT RC_PARAMS=seed=1)
  endif()
endfunction()
