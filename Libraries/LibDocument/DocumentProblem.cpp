#include <LibDocument/DocumentProblem.h>

#include <algorithm>
#include <numeric>

namespace Briarbend::Document
{

namespace
{

std::vector<DocumentProblem> inOrderOfLines(std::vector<DocumentProblem> problems)
{
    std::ranges::stable_sort(problems, {}, &DocumentProblem::line);
    return problems;
}

std::string textOf(const std::vector<DocumentProblem> &problems)
{
    return std::accumulate(problems.begin(), problems.end(), std::string{}, [](std::string text, const DocumentProblem &problem) {
        return (text.empty() ? "" : std::move(text) + "\n") + problem.text();
    });
}

} // namespace

std::string DocumentProblem::text() const
{
    auto text = this->file + ":";
    if (this->line > 0) {
        text += std::to_string(this->line) + ":";
    }
    if (!this->key.empty()) {
        text += " " + this->key + ":";
    }
    return text + " found " + this->found + ", allowed: " + this->allowed;
}

DocumentError::DocumentError(std::vector<DocumentProblem> problems)
    : std::runtime_error(textOf(inOrderOfLines(problems)))
    , collected(inOrderOfLines(std::move(problems)))
{
}

const std::vector<DocumentProblem> &DocumentError::problems() const
{
    return this->collected;
}

ProblemList::ProblemList(std::string fileName)
    : file(std::move(fileName))
{
}

void ProblemList::add(std::uint32_t line, std::string key, std::string found, std::string allowed)
{
    this->problems.push_back({this->file, line, std::move(key), std::move(found), std::move(allowed)});
}

bool ProblemList::isEmpty() const
{
    return this->problems.empty();
}

void ProblemList::throwIfAny() const
{
    if (!this->problems.empty()) {
        throw DocumentError(this->problems);
    }
}

} // namespace Briarbend::Document
