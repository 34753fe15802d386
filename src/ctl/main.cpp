// The command line tool tamarackctl: validates, publishes and explains the tables, and shows the state of
// instances.
#include "ctl/commands.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_bool(json, false, "print JSON for scripts");
DEFINE_string(routes, "", "file with the routes table");
DEFINE_string(pools, "", "file with the pools table");
DEFINE_string(log, "", "address of the log service");
DEFINE_string(list, "", "address of the instance list");
DEFINE_string(instances, "", "admin addresses of instances, separated by commas");
DEFINE_string(author, "operator", "name that the history shows");
DEFINE_string(id, "", "unique id of the change; the same id is never accepted twice");
DEFINE_int64(base, tamarack::ctl::no_base,
             "version that the change was made from; default: the one in force");
DEFINE_string(method, "POST", "method of the request to explain");
DEFINE_string(path, "/v1/chat/completions", "path of the request to explain");
DEFINE_string(tenant, "default", "tenant of the request to explain");
DEFINE_string(model, "", "model of the request to explain");
DEFINE_string(key, "", "idempotency key of the request to explain");
DEFINE_string(events, "", "files with event lines of the processes, separated by commas");
DEFINE_string(request, "", "id of the request to tell of");

namespace {

constexpr const char* usage = R"(tamarackctl COMMAND [flags]

  validate  --routes --pools                     check both tables and that they fit
  publish   --routes --pools --log [--id --base] publish both tables, read the verdict back
  history   --log                                every decided change
  show      --log                                the tables in force
  status    --instances                          readiness and version of instances
  explain   --log --list --path --model ...      route, pool and endpoints of a request
  story     --events --request                   what happened to a request, from saved event lines

Exit codes: 0 done, 1 rejected or faulty tables, 2 wrong flags or files, 3 not reachable or unknown.)";

tamarack::ctl::options options_from_flags() {
    tamarack::ctl::options flags;
    flags.json_ = FLAGS_json;
    flags.routes_file_ = FLAGS_routes;
    flags.pools_file_ = FLAGS_pools;
    flags.log_ = FLAGS_log;
    flags.list_ = FLAGS_list;
    flags.instances_ = FLAGS_instances;
    flags.author_ = FLAGS_author;
    flags.id_ = FLAGS_id;
    flags.base_ = FLAGS_base;
    flags.method_ = FLAGS_method;
    flags.path_ = FLAGS_path;
    flags.organisation_ = FLAGS_tenant;
    flags.model_ = FLAGS_model;
    flags.key_ = FLAGS_key;
    flags.events_ = FLAGS_events;
    flags.request_ = FLAGS_request;
    return flags;
}

} // namespace

int main(int argc, char** argv) {
    using command = int (*)(const tamarack::ctl::options&);
    const std::map<std::string, command> commands = {
        {"validate", tamarack::ctl::validate}, {"publish", tamarack::ctl::publish},
        {"history", tamarack::ctl::history},   {"show", tamarack::ctl::show},
        {"status", tamarack::ctl::status},     {"explain", tamarack::ctl::explain},
        {"story", tamarack::ctl::story},
    };
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto found = argc == 2 ? commands.find(argv[1]) : commands.end();
    if (found == commands.end()) {
        std::cerr << usage << "\n";
        return tamarack::ctl::exit_usage;
    }
    return found->second(options_from_flags());
}
