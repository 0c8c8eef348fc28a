//! The replicated state, and how records change it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use apricotwell_records::{Body, DecideLoad, PutConfig, Record, SettleOutcome, SettleReplica};
use apricotwell_types::{
    BodyDigest, Fence, Incarnation, KeyDigest, Map, Mebibytes, ModelId, Offset, OrgId, Shard,
    shard_of,
};

use crate::config::ConfigTree;
use crate::lease::{Lease, LeaseTable};
use crate::ledger::{Ledger, Replica, ReplicaPhase};
use crate::settings::{
    AdapterSettings, ModelSettings, OrgSettings, PoolSettings, RouteSettings, Setting,
    StoreSettings,
};
use crate::{RejectReason, Rejection};

/// Writers whose latest sequence number is kept.
const MAX_WRITERS: usize = 4096;
/// Latest rejections kept for operators.
const MAX_REJECTIONS: usize = 256;
/// Server crashes after which all instances refuse a request body.
const QUARANTINE_CRASHES: u32 = 2;
/// Suspected bodies kept; the one whose latest crash is oldest is dropped first.
const MAX_SUSPECTS: usize = 4096;

/// Settings that must be identical on all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Genesis {
    /// Ed25519 public key of the root operator, 64 hexadecimal digits.
    pub root_key: String,
    /// Number of shards.
    pub shards: Shard,
}

/// Owner of an API key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyOwner {
    /// Organisation that the key belongs to.
    pub org: OrgId,
    /// Name of the key, which may be logged, unlike the key itself.
    pub name: String,
}

/// Model or adapter that a client's model name refers to.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedModel {
    /// Id that replicas of it have in the ledger.
    pub model: ModelId,
    /// Current version of the weights.
    pub version: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct WriterPosition {
    incarnation: Incarnation,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct SuspectRecord {
    crashes: u32,
    latest: Offset,
}

/// Replicated state built from the control stream.
///
/// # Invariants
///
/// Instances with equal genesis settings that have applied the same records below `next` have equal
/// states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    genesis: Genesis,
    // Offset of the next record to apply.
    next: Offset,
    config: ConfigTree,
    leases: LeaseTable,
    ledger: Ledger,
    writers: BTreeMap<String, WriterPosition>,
    suspects: BTreeMap<[u8; 16], SuspectRecord>,
    #[serde(skip)]
    index: Index,
    #[serde(skip)]
    rejections: VecDeque<Rejection>,
}

// Parsed settings of the configuration. Not stored in checkpoints, but rebuilt from the tree.
#[derive(Clone, Debug, Default, PartialEq)]
struct Index {
    orgs: Map<OrgId, OrgSettings>,
    keys: Map<KeyDigest, KeyOwner>,
    models: BTreeMap<String, ModelSettings>,
    adapters: BTreeMap<String, AdapterSettings>,
    pools: Map<String, PoolSettings>,
    routes: BTreeMap<String, RouteSettings>,
    store: StoreSettings,
}

impl State {
    /// Returns the state before the first record.
    pub fn new(genesis: Genesis) -> Self {
        Self {
            genesis,
            next: 1,
            config: ConfigTree::default(),
            leases: LeaseTable::default(),
            ledger: Ledger::default(),
            writers: BTreeMap::new(),
            suspects: BTreeMap::new(),
            index: Index::default(),
            rejections: VecDeque::new(),
        }
    }

    /// Returns the settings that the state was created with.
    pub fn genesis(&self) -> &Genesis {
        &self.genesis
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the configuration tree.
    pub fn config(&self) -> &ConfigTree {
        &self.config
    }

    /// Returns the leases.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Returns the lease of a shard.
    pub fn lease(&self, shard: Shard) -> Option<&Lease> {
        self.leases.get(shard)
    }

    /// Returns the ledger of servers and replicas.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the latest rejections, oldest first.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejections.iter()
    }

    /// Returns the owner of a key; `None` if the key is unknown or withdrawn.
    pub fn key_owner(&self, digest: &KeyDigest) -> Option<&KeyOwner> {
        self.index.keys.get(digest)
    }

    /// Returns the public key of an operator, the root operator included.
    pub fn operator_key(&self, name: &str) -> Option<String> {
        if name == crate::config::ROOT_OPERATOR {
            return Some(self.genesis.root_key.clone());
        }
        let operator = self.config.operator(name)?;
        Some(operator.public_key)
    }

    /// Returns an organisation's settings.
    pub fn org(&self, org: &str) -> Option<&OrgSettings> {
        self.index.orgs.get(org)
    }

    /// Returns the organisations, in no defined order.
    pub fn orgs(&self) -> impl Iterator<Item = (&OrgId, &OrgSettings)> {
        self.index.orgs.iter()
    }

    /// Returns a model's settings.
    pub fn model(&self, model: &str) -> Option<&ModelSettings> {
        self.index.models.get(model)
    }

    /// Returns the models, ordered by name.
    pub fn models(&self) -> impl Iterator<Item = (&str, &ModelSettings)> {
        let models = self.index.models.iter();
        models.map(|(name, model)| (name.as_str(), model))
    }

    /// Returns the settings of an adapter by its replica id `BASE:ORG/NAME`.
    pub fn adapter(&self, id: &str) -> Option<&AdapterSettings> {
        self.index.adapters.get(id)
    }

    /// Returns the replica ids and settings of the adapters, ordered by id.
    pub fn adapters(&self) -> impl Iterator<Item = (&str, &AdapterSettings)> {
        let adapters = self.index.adapters.iter();
        adapters.map(|(id, adapter)| (id.as_str(), adapter))
    }

    /// Returns a pool's settings.
    pub fn pool(&self, pool: &str) -> Option<&PoolSettings> {
        self.index.pools.get(pool)
    }

    /// Returns the limits of the weight store.
    pub fn store(&self) -> &StoreSettings {
        &self.index.store
    }

    /// Returns the name and settings of the route with the longest prefix that matches a request.
    pub fn route(&self, method: &str, path: &str) -> Option<(&str, &RouteSettings)> {
        self.index
            .routes
            .iter()
            .filter(|(_, route)| matches_prefix(path, &route.prefix))
            .filter(|(_, route)| route.methods.iter().any(|allowed| allowed == method))
            .max_by_key(|(_, route)| route.prefix.len())
            .map(|(name, route)| (name.as_str(), route))
    }

    /// Resolves the model name in a request of `org`.
    ///
    /// Returns `None` if the model or adapter is unknown, or the model is not granted to `org`.
    pub fn resolve_model(&self, org: &str, name: &str) -> Option<ResolvedModel> {
        let settings = self.org(org)?;
        let base = name.split(':').next()?;
        let granted = settings
            .models
            .iter()
            .any(|model| model == "*" || model == base);
        if !granted {
            return None;
        }
        let model = self.model(base)?;
        let Some((_, adapter)) = name.split_once(':') else {
            return Some(ResolvedModel {
                model: base.into(),
                version: model.version.clone(),
            });
        };
        let id = adapter_id(base, org, adapter);
        let adapter = self.adapter(&id)?;
        Some(ResolvedModel {
            model: id.as_str().into(),
            version: adapter.version.clone(),
        })
    }

    /// Returns version, memory and replica limit of a model or adapter, as needed to load it.
    pub fn load_spec(&self, model: &str) -> Option<(String, Mebibytes, u32)> {
        if model.contains(':') {
            let adapter = self.adapter(model)?;
            let spec = (
                adapter.version.clone(),
                adapter.memory_mib,
                adapter.max_replicas,
            );
            return Some(spec);
        }
        let settings = self.model(model)?;
        let spec = (
            settings.version.clone(),
            settings.memory_mib,
            settings.max_replicas,
        );
        Some(spec)
    }

    /// Returns the shard of a model; an adapter is in the shard of its base model.
    pub fn model_shard(&self, model: &str) -> Shard {
        let base = model.split(':').next().unwrap_or(model);
        shard_of(base, self.genesis.shards)
    }

    /// Returns the number of server crashes recorded for a request body.
    pub fn crash_count(&self, digest: BodyDigest) -> u32 {
        self.suspects
            .get(&digest.0)
            .map_or(0, |suspect| suspect.crashes)
    }

    /// Returns whether all instances refuse a request body.
    pub fn is_quarantined(&self, digest: BodyDigest) -> bool {
        self.crash_count(digest) >= QUARANTINE_CRASHES
    }

    /// Returns the suspected bodies with their numbers of crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (BodyDigest, u32)> {
        let suspects = self.suspects.iter();
        suspects.map(|(digest, suspect)| (BodyDigest(*digest), suspect.crashes))
    }

    /// Applies the record at `offset`.
    ///
    /// # Errors
    ///
    /// Fails if the record has no effect; it then fails on every instance.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Result<(), RejectReason> {
        self.next = self.next.max(offset + 1);
        let applied = self.apply_body(offset, record);
        if let Err(reason) = &applied {
            self.record_rejection(offset, record, reason.clone());
        }
        applied
    }

    /// Applies the bytes of the record at `offset`.
    ///
    /// # Errors
    ///
    /// Fails if the record has no effect; it then fails on every instance.
    pub fn apply_bytes(&mut self, offset: Offset, bytes: &[u8]) -> Result<(), RejectReason> {
        match Record::from_bytes(bytes) {
            Some(record) => self.apply(offset, &record),
            None => {
                self.next = self.next.max(offset + 1);
                Err(RejectReason::Unreadable)
            }
        }
    }

    fn apply_body(&mut self, offset: Offset, record: &Record) -> Result<(), RejectReason> {
        let Some(body) = &record.body else {
            return Err(RejectReason::Unreadable);
        };
        if let Body::PutConfig(put) = body {
            return self.apply_put(offset, &record.writer, put);
        }
        self.check_writer(record)?;
        match body {
            Body::PutConfig(_) => Err(RejectReason::Unreadable),
            Body::AcquireLeases(acquire) => {
                let shards = self.genesis.shards;
                let leases = &mut self.leases;
                leases.acquire(offset, &record.writer, record.incarnation, acquire, shards)
            }
            Body::DecideLoad(decide) => self.apply_decide(offset, record, decide),
            Body::RetireReplica(retire) => {
                self.check_replica(record, retire.replica, retire.fence)?;
                self.ledger.retire(retire.replica)
            }
            Body::SettleReplica(settle) => self.apply_settle(record, settle),
            Body::ServerUp(up) => self.ledger.server_up(up),
            Body::ServerGone(gone) => self.ledger.server_gone(&gone.server, gone.incarnation),
            Body::CrashSuspect(suspect) => self.apply_suspect(offset, &suspect.digest),
        }
    }

    // Rejects duplicates, which a writer appends after a lost reply, and late records of an ended
    // process.
    fn check_writer(&mut self, record: &Record) -> Result<(), RejectReason> {
        let latest = self.writers.get(&record.writer);
        let latest = latest.map_or((0, 0), |latest| (latest.incarnation, latest.sequence));
        if (record.incarnation, record.sequence) <= latest {
            return Err(RejectReason::Duplicate);
        }
        let position = WriterPosition {
            incarnation: record.incarnation,
            sequence: record.sequence,
        };
        self.writers.insert(record.writer.clone(), position);
        if self.writers.len() > MAX_WRITERS {
            let oldest = self
                .writers
                .iter()
                .min_by_key(|(_, position)| position.incarnation)
                .map(|(writer, _)| writer.clone());
            if let Some(writer) = oldest {
                self.writers.remove(&writer);
            }
        }
        Ok(())
    }

    fn apply_put(
        &mut self,
        offset: Offset,
        writer: &str,
        put: &PutConfig,
    ) -> Result<(), RejectReason> {
        let root_key = &self.genesis.root_key;
        self.config.authorise(writer, put, root_key)?;
        self.check_key_digest(put)?;
        let setting = self.config.put(offset, writer, put)?;
        match setting {
            Some(setting) => {
                if let (Setting::Quarantine(quarantine), Some(digest)) =
                    (&setting, last_segment(&put.path))
                    && quarantine.released
                    && let Some(digest) = BodyDigest::from_hex(digest)
                {
                    self.suspects.remove(&digest.0);
                }
                // A path without an earlier entry is not in the index. Skipping it avoids a scan.
                if put.expected != 0 {
                    self.index.remove(&put.path);
                }
                self.index.insert(&put.path, setting);
            }
            None => self.index.remove(&put.path),
        }
        Ok(())
    }

    // Rejects a key digest that is in use under another path. Otherwise a team could take over a
    // key of another team by knowing only its digest.
    fn check_key_digest(&self, put: &PutConfig) -> Result<(), RejectReason> {
        let Some(text) = &put.value else {
            return Ok(());
        };
        let Ok(Setting::Key(settings)) = Setting::parse(&put.path, text) else {
            return Ok(());
        };
        let digest = KeyDigest::from_hex(&settings.digest);
        let Some(owner) = digest.and_then(|digest| self.key_owner(&digest)) else {
            return Ok(());
        };
        if put.path == format!("/teams/{}/keys/{}", owner.org, owner.name) {
            return Ok(());
        }
        let problem = format!("{}: the key is in use under another path", put.path);
        Err(RejectReason::Malformed(format!(
            "{problem}; issue a new key"
        )))
    }

    fn apply_decide(
        &mut self,
        offset: Offset,
        record: &Record,
        decide: &DecideLoad,
    ) -> Result<(), RejectReason> {
        self.check_fence(record, &decide.model, decide.fence)?;
        let spec = self.load_spec(&decide.model);
        let (_, memory, max_replicas) = spec.ok_or(RejectReason::UnknownTarget)?;
        let server = self.ledger.server(&decide.server);
        let server = server.ok_or(RejectReason::UnknownTarget)?;
        if server.incarnation != decide.incarnation {
            return Err(RejectReason::UnknownTarget);
        }
        let capacity = self.pool(&server.pool).map_or(0, |pool| pool.memory_mib);
        let replica = Replica {
            model: decide.model.as_str().into(),
            version: decide.version.clone(),
            server: decide.server.as_str().into(),
            memory,
            phase: ReplicaPhase::Decided,
            fence: decide.fence,
            confirmed: false,
        };
        self.ledger.decide(offset, replica, capacity, max_replicas)
    }

    fn apply_settle(
        &mut self,
        record: &Record,
        settle: &SettleReplica,
    ) -> Result<(), RejectReason> {
        self.check_replica(record, settle.replica, settle.fence)?;
        match SettleOutcome::try_from(settle.outcome) {
            Ok(SettleOutcome::Loaded) => self.ledger.confirm_loaded(settle.replica),
            Ok(SettleOutcome::Absent) => self.ledger.confirm_absent(settle.replica),
            _ => Err(RejectReason::Unreadable),
        }
    }

    fn apply_suspect(&mut self, offset: Offset, digest: &[u8]) -> Result<(), RejectReason> {
        let digest = BodyDigest::from_slice(digest).ok_or(RejectReason::Unreadable)?;
        let suspect = self.suspects.entry(digest.0).or_insert(SuspectRecord {
            crashes: 0,
            latest: offset,
        });
        suspect.crashes += 1;
        suspect.latest = offset;
        if self.suspects.len() > MAX_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.latest)
                .map(|(digest, _)| *digest);
            if let Some(digest) = oldest {
                self.suspects.remove(&digest);
            }
        }
        Ok(())
    }

    fn check_replica(&self, record: &Record, id: u64, fence: Fence) -> Result<(), RejectReason> {
        let replica = self.ledger.replica(id).ok_or(RejectReason::UnknownTarget)?;
        self.check_fence(record, &replica.model.clone(), fence)
    }

    fn check_fence(&self, record: &Record, model: &str, fence: Fence) -> Result<(), RejectReason> {
        let lease = self.lease(self.model_shard(model));
        let lease = lease.ok_or(RejectReason::StaleFence)?;
        let is_holder = lease.fence == fence
            && *lease.holder == record.writer
            && lease.incarnation == record.incarnation;
        if is_holder {
            Ok(())
        } else {
            Err(RejectReason::StaleFence)
        }
    }

    fn record_rejection(&mut self, offset: Offset, record: &Record, reason: RejectReason) {
        let change = match &record.body {
            Some(Body::PutConfig(put)) => put.change,
            _ => 0,
        };
        if self.rejections.len() == MAX_REJECTIONS {
            self.rejections.pop_front();
        }
        self.rejections.push_back(Rejection {
            offset,
            writer: record.writer.clone(),
            change,
            reason,
        });
    }

    pub(crate) fn rebuild(&mut self) {
        self.ledger.rebuild();
        self.index = Index::default();
        for (path, entry) in self.config.iter() {
            let Some(text) = &entry.value else { continue };
            if let Ok(setting) = Setting::parse(path, text) {
                self.index.insert(path, setting);
            }
        }
    }
}

impl Index {
    fn insert(&mut self, path: &str, setting: Setting) {
        let name = last_segment(path).unwrap_or_default().to_owned();
        let org = path.split('/').nth(2).unwrap_or_default();
        match setting {
            Setting::Organisation(settings) => {
                self.orgs.insert(name.as_str().into(), settings);
            }
            Setting::Model(settings) => {
                self.models.insert(name, settings);
            }
            Setting::Pool(settings) => {
                self.pools.insert(name, settings);
            }
            Setting::Route(settings) => {
                self.routes.insert(name, settings);
            }
            Setting::Store(settings) => self.store = settings,
            Setting::Key(settings) => {
                let digest = KeyDigest::from_hex(&settings.digest);
                if let (Some(digest), false) = (digest, settings.withdrawn) {
                    let owner = KeyOwner {
                        org: org.into(),
                        name,
                    };
                    self.keys.insert(digest, owner);
                }
            }
            Setting::Adapter(settings) => {
                let id = adapter_id(&settings.base, org, &name);
                self.adapters.insert(id, settings);
            }
            Setting::Operator(_) | Setting::Quarantine(_) => {}
        }
    }

    fn remove(&mut self, path: &str) {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments[..] {
            ["platform", "organisations", name] => {
                self.orgs.remove(name);
            }
            ["platform", "models", name] => {
                self.models.remove(name);
            }
            ["platform", "pools", name] => {
                self.pools.remove(name);
            }
            ["platform", "routes", name] => {
                self.routes.remove(name);
            }
            ["platform", "store"] => self.store = StoreSettings::default(),
            ["teams", org, "keys", name] => {
                self.keys
                    .retain(|_, owner| *owner.org != *org || owner.name != name);
            }
            ["teams", org, "adapters", name] => {
                let suffix = format!(":{org}/{name}");
                self.adapters.retain(|id, _| !id.ends_with(&suffix));
            }
            _ => {}
        }
    }
}

fn adapter_id(base: &str, org: &str, name: &str) -> String {
    format!("{base}:{org}/{name}")
}

fn last_segment(path: &str) -> Option<&str> {
    path.rsplit('/').next()
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/') || rest.starts_with('?')
}
