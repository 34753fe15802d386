#include "observe/contract_report.hpp"

namespace tamarack {

void report_contract(const contract::terms& told, std::string_view platform, std::string_view part,
                     event_log& events, metrics& measures) {
    const auto* kept = registry<contract::kept_terms>::instance().find(platform);
    const std::vector<std::string> ignored =
        contract::ignored_terms(told, kept == nullptr ? contract::kept_terms() : *kept);
    measures.set("tamarack_contract_terms_ignored",
                 "Terms of the deployment's contract that this program does not keep", {},
                 double(ignored.size()));
    if (!ignored.empty()) {
        events.write({event_kind::process,
                      part,
                      "contract_terms_ignored",
                      {},
                      {{"terms", contract::joined(ignored)}}});
    }
}

} // namespace tamarack
