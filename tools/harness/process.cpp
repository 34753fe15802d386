#include "harness/process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace tamarack::harness {

namespace {

[[noreturn]] void become(const std::string& program, const std::vector<std::string>& arguments, int output,
                         const std::string& log_file, bool output_to_log) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDERR_FILENO);
    if (output_to_log) {
        ::dup2(log, STDOUT_FILENO);
    }
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
}

} // namespace

process::process(const std::string& program, std::vector<std::string> arguments, const std::string& log_file,
                 bool output_to_log) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) {
        return;
    }
    pid_ = ::fork();
    if (pid_ == 0) {
        become(program, arguments, ends[1], log_file, output_to_log);
    }
    ::close(ends[1]);
    output_ = ends[0];
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_(std::exchange(other.output_, -1)) {}

process& process::operator=(process&& other) noexcept {
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    return *this;
}

process::~process() {
    kill();
    if (output_ >= 0) {
        ::close(output_);
    }
}

void process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void process::kill() {
    signal(SIGKILL);
    wait();
}

int process::wait() {
    if (pid_ <= 0) {
        return -1;
    }
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool process::running() {
    return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
}

std::string process::read_line() {
    std::string line;
    char one = 0;
    while (::read(output_, &one, 1) == 1 && one != '\n') {
        line += one;
    }
    return line;
}

std::string process::read_all() {
    std::string all;
    char part[4096];
    for (ssize_t got = ::read(output_, part, sizeof(part)); got > 0;
         got = ::read(output_, part, sizeof(part))) {
        all.append(part, std::size_t(got));
    }
    return all;
}

std::int64_t resident_kb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::int64_t total_pages = 0;
    std::int64_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * ::sysconf(_SC_PAGESIZE) / 1024;
}

std::int64_t peak_kb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::int64_t kb = 0;
            status >> kb;
            return kb;
        }
    }
    return 0;
}

std::int64_t cpu_ms(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    std::int64_t ticks = 0;
    constexpr int user_time_field = 14;
    constexpr int system_time_field = 15;
    for (int field = 1; field <= system_time_field && file >> word; ++field) {
        if (field >= user_time_field) {
            ticks += std::stoll(word);
        }
    }
    return ticks * 1000 / ::sysconf(_SC_CLK_TCK);
}

} // namespace tamarack::harness
