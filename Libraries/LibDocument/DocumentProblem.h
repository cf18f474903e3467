#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace Briarbend::Document
{

/// One thing that is wrong with a document, told so that its writer can mend it.
struct DocumentProblem {
    std::string file;
    /// Counted from 1; zero where the whole file is meant.
    std::uint32_t line{0};
    /// Dotted path of the key; empty where the whole file is meant.
    std::string key;
    std::string found;
    std::string allowed;

    bool operator==(const DocumentProblem &) const = default;

    /// "file:line: key: found ..., allowed: ...".
    std::string text() const;
};

/// Carries every problem of a document; what() has one line for each, in the order of the lines.
class DocumentError : public std::runtime_error
{
public:
    explicit DocumentError(std::vector<DocumentProblem> problems);

    const std::vector<DocumentProblem> &problems() const;

private:
    std::vector<DocumentProblem> collected;
};

/// Collects the problems of one file while it is read, so that all are reported together.
class ProblemList
{
public:
    explicit ProblemList(std::string file);

    void add(std::uint32_t line, std::string key, std::string found, std::string allowed);
    bool isEmpty() const;
    /// Throws a DocumentError with all problems where there are any.
    void throwIfAny() const;

private:
    std::string file;
    std::vector<DocumentProblem> problems;
};

} // namespace Briarbend::Document
