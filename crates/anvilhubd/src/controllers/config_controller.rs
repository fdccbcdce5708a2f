use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::configuration::{SheetAction, SheetInput};
use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::membership::GossipPlan;
use anvilhub_coord::sheet::AcceptedSheet;
use crossbeam::channel::{Sender, select, tick};
use eyre::Result;
use log::{error, info, warn};
use metrics::{counter, gauge};

use crate::entry_context::EntryContext;

use super::{PeerExchange, controller_thread};

/// Interval at which the acceptor checks its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Passes inputs to the sheet acceptor, carries out its actions, and exchanges state with peers.
pub(crate) struct ConfigController {
    context: Arc<EntryContext>,
    exchange: PeerExchange,
    gossip_plan: GossipPlan,
    ready_sender: Sender<()>,
}

impl ConfigController {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        exchange: PeerExchange,
        ready_sender: Sender<()>,
    ) -> Self {
        let gossip_plan = GossipPlan::new(rand::random(), context.clock.now());
        Self {
            context,
            exchange,
            gossip_plan,
            ready_sender,
        }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        controller_thread::start("configuration", move || self.run())
    }

    fn run(mut self) {
        let inputs = self.context.configuration.inputs();
        let ticks = tick(TICK_INTERVAL);
        loop {
            let input = select! {
                recv(inputs) -> input => input.unwrap_or(SheetInput::Tick),
                recv(ticks) -> _ => SheetInput::Tick,
            };
            let resumed_at = self.context.pause_detector.resumed_at();
            if self.context.configuration.acknowledge_pause(resumed_at) {
                self.handle_input(SheetInput::Resumed);
            }
            self.handle_input(input);
            self.start_due_exchanges();
            self.publish_state();
        }
    }

    fn handle_input(&mut self, input: SheetInput) {
        let now = self.context.clock.now();
        let actions = self.context.configuration.acceptor().handle(now, input);
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: SheetAction) {
        match action {
            SheetAction::Announce => self.gossip_plan.record_change(self.context.clock.now()),
            SheetAction::Query { peers } => self.exchange.start_exchanges(&peers),
            SheetAction::Fetch {
                peer,
                stamp,
                request,
            } => {
                info!(peer:% = peer, sheet:% = stamp; "fetching a sheet from a peer");
                self.exchange.start_fetch(peer, request);
            }
            SheetAction::PutInForce(sheet) => self.put_in_force(&sheet),
            SheetAction::Refuse { revision, faults } => {
                counter!("anvilhub_sheets_refused_total").increment(1);
                for fault in faults {
                    error!(revision:% = revision, place = fault.place; "sheet refused: {fault}");
                }
            }
            SheetAction::IgnoreStale { revision, version } => {
                warn!(revision:% = revision, version:% = version; "ignored an older sheet from the platform");
            }
            SheetAction::DiscardReply { peer, reason } => {
                warn!(peer:% = peer; "discarded a sheet from a peer: {reason}");
            }
            SheetAction::RaiseAlarm(alarm) => {
                gauge!("anvilhub_alarm", "kind" => alarm.kind()).set(1.0);
                error!(kind = alarm.kind(); "alarm: {alarm}");
            }
            SheetAction::ClearAlarm(alarm) => {
                gauge!("anvilhub_alarm", "kind" => alarm.kind()).set(0.0);
                info!(kind = alarm.kind(); "alarm ended: {alarm}");
            }
        }
    }

    fn put_in_force(&self, sheet: &AcceptedSheet) {
        let stamp = sheet.stamp();
        info!(version:% = stamp.version, digest:% = stamp.digest, revision:% = stamp.revision; "sheet in force");
        gauge!("anvilhub_sheet_version").set(stamp.version.get() as f64);
        self.context
            .sheet
            .store(Some(Arc::new(sheet.sheet().clone())));
    }

    /// Starts the exchanges with peers that are due.
    fn start_due_exchanges(&mut self) {
        let now = self.context.clock.now();
        let peers: Vec<InstanceId> = self.context.members().peers().cloned().collect();
        let due = self.gossip_plan.select_peers(now, &peers);
        if !due.is_empty() {
            self.exchange.start_exchanges(&due);
        }
    }

    /// Publishes whether the sheet in force is confirmed, the number of alarms, and the division among instances.
    fn publish_state(&self) {
        let (is_ready, alarm_count) = {
            let acceptor = self.context.configuration.acceptor();
            (acceptor.is_ready(), acceptor.alarms().len())
        };
        gauge!("anvilhub_alarms").set(alarm_count as f64);
        gauge!("anvilhub_sheet_confirmed").set(f64::from(u8::from(is_ready)));
        self.context.configuration.set_confirmed(is_ready);
        self.publish_division();
        if is_ready {
            // A full channel means that the daemon has been notified already.
            let _ = self.ready_sender.try_send(());
        }
    }

    /// Divides shards, slots and connections among the instances again after the live instances have changed.
    fn publish_division(&self) {
        let division = self.context.compute_division();
        if self.context.division.load().is_equivalent_to(&division) {
            return;
        }
        gauge!("anvilhub_live_instances").set(f64::from(division.instance_count));
        info!(instances = division.instance_count; "shards, slots and connections divided among instances");
        self.context.division.store(Arc::new(division));
    }
}
