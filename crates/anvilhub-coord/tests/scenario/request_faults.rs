//! The commands of `request-at-each-step`.

use std::time::Duration;

use super::request_message::{Body, Message, Node, entry_index, node};
use super::request_world::{Replica, RequestWorld};

impl RequestWorld {
    /// Ends the process of the instance `index` and starts another in its place.
    pub fn kill(&mut self, index: usize) {
        self.entries[index] = self.new_entry(index);
        self.messages
            .retain(|message| message.to != Node::Entry(index));
    }

    /// Ends a stopping instance that has neither tickets nor requests.
    pub(super) fn end_stopped(&mut self, index: usize) {
        let is_addressed = |message: &Message| match message.body {
            Body::Request(_) => message.to == Node::Entry(index),
            _ => false,
        };
        let entry = &mut self.entries[index];
        let is_idle = entry.forwards.is_empty() && !self.messages.iter().any(is_addressed);
        if entry.stopping
            && !entry.paused
            && is_idle
            && entry.table.drain_report(self.now).total() == 0
        {
            self.kill(index);
        }
    }

    /// Lets `time` pass.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Applies one command of a scenario.
    pub fn command(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["pause", entry, millis] => {
                self.entries[entry_index(entry)].paused = true;
                self.pause = Duration::from_millis(millis.parse().unwrap());
            }
            ["resend", entry] => self.send(entry_index(entry), self.last_ticket()),
            ["kill", entry] => self.kill(entry_index(entry)),
            ["cut", from, to] => drop(self.cuts.insert((node(from), node(to)))),
            ["stop", entry] => {
                let entry = &mut self.entries[entry_index(entry)];
                entry.table.start_draining();
                entry.stopping = true;
            }
            ["drain", entry] => self.entries[entry_index(entry)].table.start_draining(),
            ["unlist", entry] => self.entries[entry_index(entry)].listed = false,
            ["stale-sheet", entry] => self.entries[entry_index(entry)].stale_sheet = true,
            ["lose", replica] => self.replica(replica).lost = true,
            ["refuse", replica] => self.replica(replica).refuses = true,
            ["silence", replica] => self.replica(replica).silent = true,
            ["cross"] => self.crossed = true,
            ["move-key"] => self.moved = true,
            ["double"] => self.doubled = true,
            ["late"] => self.hold_answers(),
            _ => panic!("unknown command `{line}`"),
        }
    }

    fn replica(&mut self, name: &str) -> &mut Replica {
        let Node::Replica(index) = node(name) else {
            panic!("`{name}` is not a replica");
        };
        &mut self.replicas[index]
    }

    fn hold_answers(&mut self) {
        let is_answer =
            |message: &Message| !matches!(message.body, Body::Request(_) | Body::Execute(_));
        let (late, messages) = self.messages.drain(..).partition(is_answer);
        self.messages = messages;
        self.late = Some(late);
    }

    /// Ends every fault that ends by itself; what was held back arrives.
    pub fn heal(&mut self) {
        self.now = self.now + std::mem::take(&mut self.pause);
        for entry in &mut self.entries {
            entry.paused = false;
            entry.listed = true;
        }
        self.replicas = Default::default();
        self.cuts.clear();
        self.crossed = false;
        self.moved = false;
        let late = self.late.take();
        self.messages.extend(late.unwrap_or_default());
    }
}
