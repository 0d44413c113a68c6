# All packages have the same layout. Sources are found by globbing, so a new file needs no change here:
#   include/lovagebeam/<name>/*.h   public headers
#   src/<name>/*.{h,cpp}            internals
#   tests/<name>/*.cpp              CppUnit tests, one executable <name>_test

function(lovagebeam_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor
    -Woverloaded-virtual)
endfunction()

# The generated protobuf code is committed, so that a build doesn't need protoc.
function(lovagebeam_add_generated)
  file(GLOB sources CONFIGURE_DEPENDS generated/*.pb.cc)
  add_library(lovagebeam_proto STATIC ${sources})
  target_include_directories(lovagebeam_proto SYSTEM PUBLIC generated)
  target_link_libraries(lovagebeam_proto PUBLIC protobuf::libprotobuf)
  set_target_properties(lovagebeam_proto PROPERTIES LINKER_LANGUAGE CXX EXPORT_COMPILE_COMMANDS OFF)
endfunction()

function(lovagebeam_add_tests name)
  file(GLOB tests CONFIGURE_DEPENDS tests/${name}/*.cpp)
  if(tests)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE src/${name})
    target_link_libraries(${name}_test PRIVATE lovagebeam_${name} lovagebeam_test_main)
    lovagebeam_warnings(${name}_test)
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 1200)
  endif()
endfunction()

function(lovagebeam_add_package name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/${name}/*.cpp)
  if(sources)
    add_library(lovagebeam_${name} STATIC ${sources})
    target_include_directories(lovagebeam_${name} PUBLIC include PRIVATE src/${name})
    target_link_libraries(lovagebeam_${name} PUBLIC ${ARG_LIBS})
    lovagebeam_warnings(lovagebeam_${name})
  else()
    add_library(lovagebeam_${name} INTERFACE)
    target_include_directories(lovagebeam_${name} INTERFACE include)
    target_link_libraries(lovagebeam_${name} INTERFACE ${ARG_LIBS})
  endif()
  lovagebeam_add_tests(${name})
endfunction()

# Each <folder>/<program>/ holds the sources of one program. It links the libraries in the variable
# <program>_LIBS, or the daemon and stand-in libraries if that is not set.
function(lovagebeam_add_programs folder)
  file(GLOB program_dirs CONFIGURE_DEPENDS LIST_DIRECTORIES true ${folder}/*)
  foreach(dir IN LISTS program_dirs)
    if(IS_DIRECTORY ${dir})
      get_filename_component(program ${dir} NAME)
      file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp)
      add_executable(${program} ${sources})
      target_include_directories(${program} PRIVATE include ${dir})
      set(libs lovagebeam_daemon lovagebeam_standin)
      if(DEFINED ${program}_LIBS)
        set(libs ${${program}_LIBS})
      endif()
      target_link_libraries(${program} PRIVATE ${libs} Boost::program_options)
      lovagebeam_warnings(${program})
    endif()
  endforeach()
endfunction()
