#pragma once

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <string>

namespace Briarbend::Testing
{

/// The path of a file of the source tree, from its root. BRIARBEND_SOURCE_FOLDER is defined by the test's CMakeLists.txt.
inline std::string sourcePath(const std::string &path)
{
    return std::string(BRIARBEND_SOURCE_FOLDER) + "/" + path;
}

inline std::string readSource(const std::string &path)
{
    std::ifstream stream(sourcePath(path), std::ios::binary);
    EXPECT_TRUE(stream.is_open()) << path;
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Compares a text with a recorded file of the source tree. With BRIARBEND_UPDATE_GOLDEN=1 in the environment the file is recorded anew.
inline void expectGolden(const std::string &path, const std::string &actual)
{
    if (std::getenv("BRIARBEND_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(sourcePath(path), std::ios::binary) << actual;
    }
    EXPECT_EQ(actual, readSource(path)) << "differs from " << path << "; BRIARBEND_UPDATE_GOLDEN=1 records it anew";
}

} // namespace Briarbend::Testing
