#include "tamarack/contract.hpp"

#include <sstream>

namespace tamarack::contract {

std::vector<std::string> ignored_terms(const terms& told, const kept_terms& kept) {
    std::set<std::string> ignored;
    for (const std::string& part : told.parts_) {
        if (!kept.parts_.contains(part)) {
            ignored.insert(part);
        }
    }
    for (const auto& [name, bound] : told.bounds_) {
        const auto known = kept.bounds_.find(name);
        if (known == kept.bounds_.end() || !bound) {
            ignored.insert(name);
        } else if (*bound < known->second.least_ || *bound > known->second.most_) {
            std::ostringstream term;
            term << name << "=" << *bound;
            ignored.insert(term.str());
        }
    }
    return listed(ignored);
}

std::vector<std::string> listed(const std::set<std::string>& all) {
    constexpr std::size_t max_terms = 32;
    constexpr std::size_t max_term_bytes = 64;
    std::vector<std::string> terms;
    for (const std::string& term : all) {
        if (terms.size() < max_terms) {
            terms.push_back(term.substr(0, max_term_bytes));
        }
    }
    return terms;
}

std::string joined(const std::vector<std::string>& all) {
    std::string text;
    for (const std::string& one : all) {
        text += (text.empty() ? "" : ",") + one;
    }
    return text;
}

} // namespace tamarack::contract
