// Child processes of the scale run: started, asked over pipes, measured by /proc, ended by their own number.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::scale {

class Process {
  public:
    // `environment` is added to this process's own. What it writes to standard error goes to the file `log`.
    Process(const std::vector<std::string>& command,
            const std::vector<std::pair<std::string, std::string>>& environment, const std::string& log);
    ~Process(); // SIGKILL, if it still runs
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    void kill_and_wait();
    bool running();
    // One line there, one line back; empty when the process is gone or silent for 20 s.
    std::string ask(const std::string& line);
    double cpu_s() const;     // used so far, all threads
    double memory_mb() const; // resident now
    double peak_memory_mb() const;

  private:
    int id_ = -1, to_ = -1, from_ = -1;
    std::string read_;
};

double steady_s(); // of the system's steady clock, alike in all processes

} // namespace ivyrill::scale
