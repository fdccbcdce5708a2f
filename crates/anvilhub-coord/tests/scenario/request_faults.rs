//! The fault commands of the directive `request-at-each-step`.

use std::time::Duration;

use super::request_message::{MessageBody, NodeId, RequestMessage, instance_index, parse_node};
use super::request_simulation::{FakeReplica, RequestSimulation};

impl RequestSimulation {
    /// Kills the instance at `index` and starts it again with a new incarnation.
    pub fn kill(&mut self, index: usize) {
        self.instances[index] = self.new_instance(index);
        self.messages
            .retain(|message| message.to != NodeId::Instance(index));
    }

    /// Ends a stopping instance once it has no tickets and no requests left.
    pub(super) fn end_if_drained(&mut self, index: usize) {
        let is_pending_request = |message: &RequestMessage| match message.body {
            MessageBody::Request(_) => message.to == NodeId::Instance(index),
            _ => false,
        };
        let instance = &mut self.instances[index];
        let is_idle = instance.forwards.is_empty() && !self.messages.iter().any(is_pending_request);
        if instance.is_stopping
            && !instance.is_paused
            && is_idle
            && instance.table.drain_report(self.now).total_count() == 0
        {
            self.kill(index);
        }
    }

    /// Advances the clock by `time`.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Applies one command of a scenario file.
    pub fn apply_command(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["pause", instance, millis] => {
                self.instances[instance_index(instance)].is_paused = true;
                self.pause_time = Duration::from_millis(millis.parse().unwrap());
            }
            ["resend", instance] => self.send_request(instance_index(instance), self.last_ticket()),
            ["kill", instance] => self.kill(instance_index(instance)),
            ["cut", from, to] => drop(self.partitions.insert((parse_node(from), parse_node(to)))),
            ["stop", instance] => {
                let instance = &mut self.instances[instance_index(instance)];
                instance.table.start_draining();
                instance.is_stopping = true;
            }
            ["drain", instance] => self.instances[instance_index(instance)]
                .table
                .start_draining(),
            ["unlist", instance] => self.instances[instance_index(instance)].is_listed = false,
            ["stale-sheet", instance] => {
                self.instances[instance_index(instance)].has_stale_sheet = true
            }
            ["lose", replica] => self.replica(replica).is_lost = true,
            ["refuse", replica] => self.replica(replica).is_refusing = true,
            ["silence", replica] => self.replica(replica).is_silent = true,
            ["cross"] => self.has_crossed_answers = true,
            ["move-key"] => self.has_moved_key = true,
            ["double"] => self.duplicates_answers = true,
            ["late"] => self.hold_answers(),
            _ => panic!("unknown command `{line}`"),
        }
    }

    fn replica(&mut self, name: &str) -> &mut FakeReplica {
        let NodeId::Replica(index) = parse_node(name) else {
            panic!("`{name}` is not a replica");
        };
        &mut self.replicas[index]
    }

    /// Holds back all answers, in flight or sent later, until [`Self::end_faults`].
    fn hold_answers(&mut self) {
        let is_answer = |message: &RequestMessage| {
            !matches!(
                message.body,
                MessageBody::Request(_) | MessageBody::Attempt(_)
            )
        };
        let (held, messages) = self.messages.drain(..).partition(is_answer);
        self.messages = messages;
        self.held_answers = Some(held);
    }

    /// Ends every temporary fault and releases the answers that were held back.
    pub fn end_faults(&mut self) {
        self.now = self.now + std::mem::take(&mut self.pause_time);
        for instance in &mut self.instances {
            instance.is_paused = false;
            instance.is_listed = true;
        }
        self.replicas = Default::default();
        self.partitions.clear();
        self.has_crossed_answers = false;
        self.has_moved_key = false;
        let held = self.held_answers.take();
        self.messages.extend(held.unwrap_or_default());
    }
}
