// Sends commands to the machines' controllers, as the operator's file names them (`keeper`): a program that
// is run once per command (COMMAND... ACTION MACHINE NUMBER; the first word of its standard output is the
// machine's state), or an address with a one-line protocol (ACTION MACHINE NUMBER SERIAL, answered by SERIAL
// MACHINE STATE). Never blocks: a command without an answer by its timeout is ended without a reply.
#pragma once
#include "maintenance/executor.hpp"
#include "transport/stream.hpp"

#include <list>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::program {

class MachineController {
  public:
    struct Reply {
        std::uint64_t serial = 0;
        std::string machine;
        maintenance::MachineStatus status = maintenance::MachineStatus::kUnknown;
    };
    MachineController(transport::Loop& loop, std::vector<std::string> command, std::string address,
                      Ticks timeout);
    ~MachineController();
    void execute(Ticks now, const maintenance::MachineCommand& act);
    void step(Ticks now);
    Ticks next_step() const;
    std::vector<Reply> take_replies() { return std::exchange(replies_, {}); }

  private:
    struct PendingCommand {
        maintenance::MachineCommand act;
        Ticks deadline = 0;
        std::unique_ptr<transport::Stream> stream; // to the address
        std::unique_ptr<transport::Source> pipe;   // from the process
        pid_t process = -1;
        std::string output;
        bool finished = false;
        transport::Task task;
    };
    transport::Task query_address(PendingCommand& command);
    transport::Task read_output(PendingCommand& command);
    bool spawn(PendingCommand& command);
    void add_reply(PendingCommand& command);

    transport::Loop& loop_;
    std::vector<std::string> command_;
    std::string address_;
    Ticks timeout_;
    std::list<PendingCommand> pending_;
    std::vector<pid_t> exited_; // ended or killed, still to be reaped
    std::vector<Reply> replies_;
};

} // namespace ivyrill::program
