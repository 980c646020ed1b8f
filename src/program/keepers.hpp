// Keepers of machines, as the operator's file names them: a command that is run as a process of its own
// (COMMAND... ACT MACHINE NUMBER, its first word on standard output is the machine's state), or an address
// where one line is asked and one answered (ACT MACHINE NUMBER SERIAL, then SERIAL MACHINE STATE). Nothing
// here waits: what has not answered within an act's span is ended and says nothing.
#pragma once
#include "maintenance/executor.hpp"
#include "transport/stream.hpp"

#include <list>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::program {

class Keepers {
  public:
    struct Said {
        std::uint64_t serial = 0;
        std::string machine;
        maintenance::MachineStatus kept = maintenance::MachineStatus::kUnknown;
    };
    Keepers(transport::Loop& loop, std::vector<std::string> command, std::string address, Tenths span);
    ~Keepers();
    void act(Tenths now, const maintenance::MachineCommand& act);
    void step(Tenths now);
    Tenths next() const;
    std::vector<Said> take() { return std::exchange(said_, {}); }

  private:
    struct Errand {
        maintenance::MachineCommand act;
        Tenths until = 0;
        std::unique_ptr<transport::Stream> stream; // to an address
        std::unique_ptr<transport::Source> pipe;   // from a process
        pid_t process = -1;
        std::string heard;
        bool over = false;
        transport::Task task;
    };
    transport::Task ask(Errand& errand);
    transport::Task listen(Errand& errand);
    bool spawn(Errand& errand);
    void finish(Errand& errand);

    transport::Loop& loop_;
    std::vector<std::string> command_;
    std::string address_;
    Tenths span_;
    std::list<Errand> errands_;
    std::vector<pid_t> ended_; // processes that are to be waited for
    std::vector<Said> said_;
};

} // namespace ivyrill::program
