#pragma once

#include <vector>

#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::decisions {

/// Records the requested actions, so that tests can check them.
class recording_actions : public instance_actions {
 public:
  struct forwarded {
    core::instance_id to;
    forwarded_statement work;
  };
  struct answered {
    std::uint64_t ticket = 0;
    core::statement_outcome outcome;
  };

  void RunAttempt(const attempt& work) override { attempts.push_back(work); }
  void CloseConnection(core::backend_server_id, std::uint32_t) override {
    closed += 1;
  }
  void ProbeServer(const server_probe& probe) override {
    probes.push_back(probe);
  }
  void SendRoleCommand(const role_command& command) override {
    role_commands.push_back(command);
  }
  void ForwardStatement(core::instance_id to,
                        const forwarded_statement& work) override {
    forwards.push_back({to, work});
  }
  void ReplyToPeer(core::instance_id, const forwarded_reply& reply) override {
    replies.push_back(reply);
  }
  void ClosePeerConnection(core::instance_id) override {}
  void SendHeartbeat(core::instance_id, const heartbeat&) override {
    heartbeats += 1;
  }
  void ReadGroupRecord(core::database_id) override { reads += 1; }
  void CompareAndSetGroupRecord(core::database_id,
                                const core::group_record& record) override {
    proposals.push_back(record);
  }
  void ReadConfiguration(std::uint64_t) override { configuration_reads += 1; }
  void PullConfiguration(core::instance_id) override { pulls += 1; }
  void ReadInstanceList() override {}
  void AnswerCaller(std::uint64_t ticket,
                    const core::statement_outcome& outcome) override {
    answers.push_back({ticket, outcome});
  }
  void LogDecision(const decision_log_entry& entry) override {
    log_entries.push_back(entry);
  }

  std::vector<attempt> attempts;
  std::vector<server_probe> probes;
  std::vector<role_command> role_commands;
  std::vector<forwarded> forwards;
  std::vector<forwarded_reply> replies;
  std::vector<core::group_record> proposals;
  std::vector<answered> answers;
  std::vector<decision_log_entry> log_entries;
  int reads = 0;
  int closed = 0;
  int heartbeats = 0;
  int configuration_reads = 0;
  int pulls = 0;
};

}  // namespace plantaintiller::decisions
