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

use crate::context::EntryContext;

use super::{PeerExchange, controller_thread};

/// Interval at which the acceptor looks at the time.
const TICK: Duration = Duration::from_millis(100);

/// Decides which sheet is in force, and exchanges state with peers.
pub(crate) struct ConfigController {
    context: Arc<EntryContext>,
    exchange: PeerExchange,
    gossip: GossipPlan,
    became_ready: Sender<()>,
}

impl ConfigController {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        exchange: PeerExchange,
        became_ready: Sender<()>,
    ) -> Self {
        let gossip = GossipPlan::new(rand::random(), context.clock.now());
        Self {
            context,
            exchange,
            gossip,
            became_ready,
        }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        controller_thread::start("configuration", move || self.run())
    }

    fn run(mut self) {
        let inputs = self.context.configuration.inputs();
        let ticks = tick(TICK);
        loop {
            let input = select! {
                recv(inputs) -> input => input.unwrap_or(SheetInput::Tick),
                recv(ticks) -> _ => SheetInput::Tick,
            };
            let resumed_at = self.context.pause_detector.resumed_at();
            if self.context.configuration.acknowledge(resumed_at) {
                self.handle(SheetInput::Resumed);
            }
            self.handle(input);
            self.gossip();
            self.publish();
        }
    }

    fn handle(&mut self, input: SheetInput) {
        let now = self.context.clock.now();
        let actions = self.context.configuration.acceptor().handle(now, input);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: SheetAction) {
        match action {
            SheetAction::Announce => self.gossip.announce_change(self.context.clock.now()),
            SheetAction::Query { peers } => self.exchange.start(&peers),
            SheetAction::Fetch {
                peer,
                stamp,
                request,
            } => {
                info!(peer:% = peer, sheet:% = stamp; "fetching a sheet from a peer");
                self.exchange.fetch(peer, request);
            }
            SheetAction::PutInForce(sheet) => self.put_in_force(&sheet),
            SheetAction::Refuse { revision, faults } => {
                counter!("anvilhub_sheets_refused_total").increment(1);
                for fault in faults {
                    error!(revision:% = revision, place = fault.place; "sheet refused: {fault}");
                }
            }
            SheetAction::IgnoreStale { revision, version } => {
                warn!(revision:% = revision, version:% = version; "the platform served an older sheet; ignored");
            }
            SheetAction::DiscardReply { peer, reason } => {
                warn!(peer:% = peer; "sheet from a peer discarded: {reason}");
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

    fn gossip(&mut self) {
        let now = self.context.clock.now();
        let peers: Vec<InstanceId> = self.context.members().peers().cloned().collect();
        let due = self.gossip.select_peers(now, &peers);
        if !due.is_empty() {
            self.exchange.start(&due);
        }
    }

    fn publish(&self) {
        let (ready, alarms) = {
            let acceptor = self.context.configuration.acceptor();
            (acceptor.is_ready(), acceptor.alarms().len())
        };
        gauge!("anvilhub_alarms").set(alarms as f64);
        gauge!("anvilhub_sheet_confirmed").set(f64::from(u8::from(ready)));
        self.context.configuration.set_accepted(ready);
        self.publish_division();
        if ready {
            // A full channel means that the daemon knows already.
            let _ = self.became_ready.try_send(());
        }
    }

    /// Divides shards, slots and connections anew when the live instances changed.
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
