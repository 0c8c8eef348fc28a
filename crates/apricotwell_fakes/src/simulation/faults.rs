//! Start and end of processes, and faults.

use super::*;

impl Simulation {
    /// Starts an instance, or restarts it with an empty state.
    pub fn start_instance(&mut self, name: &str) {
        self.last_generation += 1;
        let index: usize = name
            .rsplit('-')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let incarnation = self.elapsed().as_millis() as u64 + self.last_generation;
        let mut settings = NodeSettings::for_test(name, zone, incarnation);
        settings.genesis = Genesis {
            root_key: self.root_key.public_hex(),
            shards: self.options.shards,
        };
        settings.seed = self.options.seed.wrapping_mul(1000) + self.last_generation;
        settings.checkpoint_records = self.options.checkpoint_records;
        settings.log_retention = self.options.retention;
        let wall = Duration::from_secs(1_000_000) + self.elapsed();
        let host = Host {
            node: Node::new(self.now, wall, settings),
            generation: self.last_generation,
            paused: false,
            deferred: Vec::new(),
            log_partitioned: false,
            engines_partitioned: false,
            calls: BTreeMap::new(),
        };
        self.hosts.insert(name.to_owned(), host);
        self.listed.insert(name.to_owned());
        let chunks = self.log.streams.read(CHECKPOINT_STREAM, 1);
        if let (Ok(batch), false) = (chunks, self.log.down) {
            for chunk in batch.records {
                let now = self.now;
                self.with_node(name, |node| {
                    node.on_checkpoint_chunk(now, &chunk);
                });
            }
        }
        for event in [ProcessEvent::List, ProcessEvent::Tick, ProcessEvent::Read] {
            self.schedule_after(Duration::from_millis(1), name, event);
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, name: &str) {
        if let Some(host) = self.hosts.remove(name) {
            for call in host.calls.into_values() {
                self.calls.remove(&call);
            }
        }
    }

    /// Removes an instance from the platform's list.
    pub fn unlist(&mut self, name: &str) {
        self.listed.remove(name);
    }

    /// Pauses a process, as `SIGSTOP` does.
    pub fn pause(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.paused = true;
        }
    }

    /// Resumes a paused process, which then handles the events that arrived meanwhile.
    pub fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.paused = false;
        let deferred = std::mem::take(&mut host.deferred);
        for event in deferred {
            self.schedule_after(Duration::ZERO, name, event);
        }
    }

    /// Partitions two instances from each other, or ends the partition.
    pub fn set_partition(&mut self, one: &str, other: &str, partitioned: bool) {
        for (from, to) in [(one, other), (other, one)] {
            let pair = (from.to_owned(), to.to_owned());
            if partitioned {
                self.partitions.insert(pair);
            } else {
                self.partitions.remove(&pair);
            }
        }
    }

    /// Partitions an instance from the log, or ends the partition.
    pub fn set_log_partition(&mut self, name: &str, partitioned: bool) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.log_partitioned = partitioned;
        }
    }

    /// Partitions an instance from all engines, or ends the partition.
    pub fn set_engine_partition(&mut self, name: &str, partitioned: bool) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.engines_partitioned = partitioned;
        }
    }

    /// Makes an instance drain and leave the fleet.
    pub fn drain(&mut self, name: &str) {
        let now = self.now;
        self.with_node(name, |node| node.start_draining(now));
    }

    /// Starts an engine, or restarts it with nothing loaded.
    pub fn start_engine(&mut self, name: &str) {
        let incarnation = self.elapsed().as_millis() as u64 + 1;
        let engine = Engine {
            state: EngineState::new(incarnation, self.options.memory_mib, self.options.fencing),
            alive: true,
            fencing: self.options.fencing,
            lose_replies: 0,
            leaving: false,
            unreachable: false,
            limit: None,
        };
        self.engines.insert(name.to_owned(), engine);
    }

    /// Kills an engine.
    pub fn kill_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = false;
            let fencing = engine.fencing;
            engine.state = EngineState::new(0, self.options.memory_mib, fencing);
        }
    }

    /// Makes an engine unreachable while it keeps running, or reachable again.
    pub fn set_engine_unreachable(&mut self, name: &str, unreachable: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.unreachable = unreachable;
        }
    }

    /// Makes an engine name a limit on its requests per second, or none, in its responses.
    pub fn set_engine_limit(&mut self, name: &str, limit: Option<f64>) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.limit = limit;
        }
    }

    /// Makes an engine drop its replicas without a restart.
    pub fn drop_replicas(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.state.drop_replicas();
        }
    }

    /// Makes an engine report that it is leaving.
    pub fn retire_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.leaving = true;
        }
    }

    /// Makes an engine execute the next `count` orders without a reply.
    pub fn lose_order_replies(&mut self, name: &str, count: u32) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.lose_replies = count;
        }
    }
}
