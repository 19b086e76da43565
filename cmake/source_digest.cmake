# Computes a digest of the product's sources, which tells builds of different
# sources apart, also where a build folder was carried over:
#   cmake -P cmake/source_digest.cmake
# With -DOUTPUT=FILE it is written there as C++ code, if it has changed.
get_filename_component(ROOT "${CMAKE_CURRENT_LIST_DIR}" DIRECTORY)
file(GLOB_RECURSE SOURCES RELATIVE "${ROOT}"
     "${ROOT}/plantaintiller/*.h" "${ROOT}/plantaintiller/*.cpp"
     "${ROOT}/plantaintiller/*.c++"
     "${ROOT}/platform/*.h" "${ROOT}/platform/*.cpp")
list(SORT SOURCES)
set(ALL "")
foreach(SOURCE IN LISTS SOURCES)
  file(SHA256 "${ROOT}/${SOURCE}" DIGEST)
  string(APPEND ALL "${SOURCE} ${DIGEST}\n")
endforeach()
string(SHA256 DIGEST "${ALL}")
string(SUBSTRING "${DIGEST}" 0 12 DIGEST)
if(NOT OUTPUT)
  # `message` writes to the standard error stream.
  execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${DIGEST}")
  return()
endif()
set(CODE "#include \"plantaintiller/core/source_digest.h\"

namespace plantaintiller::core {

std::string_view SourceDigest() {
  return \"${DIGEST}\";
}

}  // namespace plantaintiller::core
")
set(BEFORE "")
if(EXISTS "${OUTPUT}")
  file(READ "${OUTPUT}" BEFORE)
endif()
if(NOT BEFORE STREQUAL CODE)
  file(WRITE "${OUTPUT}" "${CODE}")
endif()
