//! Starting, ending and disturbing processes.

use super::*;

impl World {
    /// Starts an instance, or starts it anew.
    pub fn start_instance(&mut self, name: &str) {
        self.last_life += 1;
        let index: usize = name
            .rsplit('-')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let incarnation = self.elapsed().as_millis() as u64 + self.last_life;
        let mut settings = NodeSettings::for_test(name, zone, incarnation);
        settings.genesis = Genesis {
            root_key: self.root.public_hex(),
            shards: self.options.shards,
        };
        settings.seed = self.options.seed.wrapping_mul(1000) + self.last_life;
        settings.checkpoint_records = self.options.checkpoint_records;
        settings.log_retention = self.options.retention;
        let wall = Duration::from_secs(1_000_000) + self.elapsed();
        let host = Host {
            node: Node::new(self.now, wall, settings),
            life: self.last_life,
            paused: false,
            held: Vec::new(),
            log_cut: false,
            calls: BTreeMap::new(),
        };
        self.hosts.insert(name.to_owned(), host);
        self.listed.insert(name.to_owned());
        let chunks = self.log.streams.read(CHECKPOINT_STREAM, 1);
        if let (Ok(batch), false) = (chunks, self.log.down) {
            for chunk in batch.records {
                let now = self.now;
                self.tell(name, |node| {
                    node.on_checkpoint_chunk(now, &chunk);
                });
            }
        }
        for step in [Step::List, Step::Tick, Step::Read] {
            self.after(Duration::from_millis(1), name, step);
        }
    }

    /// Ends an instance without warning.
    pub fn kill(&mut self, name: &str) {
        if let Some(host) = self.hosts.remove(name) {
            for call in host.calls.into_values() {
                self.calls.remove(&call);
            }
        }
    }

    /// Takes an instance off the platform's list.
    pub fn unlist(&mut self, name: &str) {
        self.listed.remove(name);
    }

    /// Stops a process where it stands.
    pub fn pause(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.paused = true;
        }
    }

    /// Lets a stopped process go on.
    pub fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.paused = false;
        let held = std::mem::take(&mut host.held);
        for step in held {
            self.after(Duration::ZERO, name, step);
        }
    }

    /// Cuts the network between two instances, or heals it.
    pub fn cut(&mut self, one: &str, other: &str, cut: bool) {
        for (from, to) in [(one, other), (other, one)] {
            let pair = (from.to_owned(), to.to_owned());
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Cuts an instance off the log, or heals it.
    pub fn cut_log(&mut self, name: &str, cut: bool) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.log_cut = cut;
        }
    }

    /// Makes an instance drain.
    pub fn leave(&mut self, name: &str) {
        let now = self.now;
        self.tell(name, |node| node.leave(now));
    }

    /// Starts an engine, or starts it anew with nothing loaded.
    pub fn start_engine(&mut self, name: &str) {
        let incarnation = self.elapsed().as_millis() as u64 + 1;
        let engine = Engine {
            state: EngineState::new(incarnation, self.options.memory, self.options.fencing),
            alive: true,
            fencing: self.options.fencing,
            lose_replies: 0,
            leaving: false,
            silent: false,
        };
        self.engines.insert(name.to_owned(), engine);
    }

    /// Ends an engine without warning.
    pub fn kill_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = false;
            let fencing = engine.fencing;
            engine.state = EngineState::new(0, self.options.memory, fencing);
        }
    }

    /// Makes an engine unreachable while it goes on, or reachable again.
    pub fn silence_engine(&mut self, name: &str, silent: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.silent = silent;
        }
    }

    /// Makes an engine forget what it has loaded, without a restart.
    pub fn drop_replicas(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.state.drop_replicas();
        }
    }

    /// Lets an engine announce that it leaves.
    pub fn retire_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.leaving = true;
        }
    }

    /// Lets an engine take the next orders without answering.
    pub fn lose_order_replies(&mut self, name: &str, count: u32) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.lose_replies = count;
        }
    }
}
