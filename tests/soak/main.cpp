// Soaks the programs with one seed after the other and prints which promises broke.
#include "soak/soak.hpp"

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(seeds, 1, "how many seeds, one after the other");
DEFINE_double(seconds, 10, "duration of the faults in each soak");
DEFINE_double(rate, 60, "requests a second");
DEFINE_int32(gateways, 3, "gateways");
DEFINE_int32(engines, 4, "model engines, each with an agent");
DEFINE_int32(limits, 1, "endpoints that name a limit on their requests at a time");
DEFINE_int32(back_offs, 1, "endpoints that turn requests away and ask for time without any, at a time");
DEFINE_int32(crashing_parts, 0, "spans in which a part of prompts ends engines");
DEFINE_int32(crashing_requests, 0, "spans in which a client repeats a request that ends endpoints");
DEFINE_bool(organisations, false, "whether requests need keys of organisations, which the operator changes");
DEFINE_double(quota_slack, 17'000, "tokens that an organisation may use beside its limit in 8 s");
DEFINE_int32(uploads, 0, "clients that send long bodies, one after the other");
DEFINE_int32(plain_endpoints, 2, "endpoints of the plain service");
DEFINE_bool(drills, true, "whether the store returns from a copy now and then");
DEFINE_bool(odd_entries, true,
            "whether others write to the registry, of which pages cannot be read at times");
DEFINE_bool(faults, true, "whether there are faults beside the limits and drills");
DEFINE_bool(all_served, false, "whether a request that is not served counts as a broken promise");
DEFINE_string(folder, "", "where the logs of failed soaks stay; a temporary folder if empty");

int main(int argc, char** argv) {
    using namespace tamarack::soak;
    gflags::SetUsageMessage("tamarack-soak [--seed N] [--seeds N] [--seconds S]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::filesystem::path base = FLAGS_folder.empty()
                                           ? std::filesystem::temp_directory_path() / "tamarack-soak"
                                           : std::filesystem::path(FLAGS_folder);
    int failed = 0;
    for (int number = 0; number < FLAGS_seeds; ++number) {
        soak_settings settings;
        settings.seed_ = FLAGS_seed + std::uint64_t(number);
        constexpr double ms_per_s = 1'000;
        settings.duration_ms_ = tamarack::time_ms(FLAGS_seconds * ms_per_s);
        settings.requests_per_s_ = FLAGS_rate;
        settings.gateways_ = FLAGS_gateways;
        settings.engines_ = FLAGS_engines;
        settings.limits_ = FLAGS_limits;
        settings.back_offs_ = FLAGS_back_offs;
        settings.crashing_parts_ = FLAGS_crashing_parts;
        settings.crashing_requests_ = FLAGS_crashing_requests;
        settings.plain_endpoints_ = FLAGS_plain_endpoints;
        settings.uploads_ = FLAGS_uploads;
        settings.organisations_ = FLAGS_organisations;
        settings.quota_slack_ = FLAGS_quota_slack;
        settings.drills_ = FLAGS_drills;
        settings.odd_entries_ = FLAGS_odd_entries;
        settings.faults_ = FLAGS_faults;
        settings.folder_ = (base / ("seed-" + std::to_string(settings.seed_))).string();
        std::filesystem::remove_all(settings.folder_);
        const soak_outcome outcome = run_soak(settings);
        const bool all_served = !FLAGS_all_served || outcome.unserved_.empty();
        const bool whole = outcome.broken_promises_.empty() && outcome.recovered_after_ms_ >= 0 && all_served;
        failed += whole ? 0 : 1;
        std::cout << "seed " << settings.seed_ << (whole ? " kept" : " BROKEN") << ", " << outcome.requests_
                  << " requests, " << outcome.served_ << " served, " << outcome.faults_.size()
                  << " faults, recovered after " << outcome.recovered_after_ms_ << " ms" << std::endl;
        if (whole) {
            std::filesystem::remove_all(settings.folder_);
            continue;
        }
        for (const std::string& fault : outcome.faults_) {
            std::cout << "  " << fault << '\n';
        }
        for (const std::string& promise : outcome.broken_promises_) {
            std::cout << "  broken: " << promise << '\n';
        }
        if (!all_served) {
            for (const std::string& request : outcome.unserved_) {
                std::cout << "  not served: " << request << '\n';
            }
        }
        std::cout << "  logs: " << settings.folder_ << std::endl;
    }
    return failed == 0 ? 0 : 1;
}
