/**
 * Messages between the processes of peridotyard and to the model engine.
 *
 * A frame on a connection is a 4-byte big-endian length and one Frame with
 * exactly one field set. Fields are only ever added, never renumbered, so that
 * processes of neighbouring releases understand each other.
 */
namespace py peridotyard_daemon.wire.generated

/** First message in both directions of a connection. */
struct Hello {
  1: string instance = "",
  2: string zone = "",
  /** "entry" or "sidecar". */
  3: string role = "",
  /** IP:port on which this process accepts peers; empty if it does not. */
  4: string address = "",
  /** Random for each process start. */
  5: i64 incarnation = 0,
  /** Highest configuration revision that this process has applied. */
  6: i64 revision = 0,
  /** "PROTOCOL_VERSION" of the sender. */
  7: i32 protocol = 0,
  /** Longest pause of the sender on a connection in use, milliseconds. */
  8: i32 heartbeat_ms = 0,
  /** Longest pause of the sender on an idle connection, milliseconds. */
  9: i32 idle_heartbeat_ms = 0,
  /** Processor capacity, in cores of normal speed; 0: unknown. */
  10: double capacity = 0.0,
  /** Whether the sender, an entry, uses CacheNews; not set: no. */
  15: optional bool uses_cache_news,
}

/** Sign of life; also the digest of the configuration exchange. */
struct Heartbeat {
  1: i64 sequence = 0,
  2: i64 revision = 0,
  /** Milliseconds since the sender last confirmed the revision with the store. */
  3: i64 confirmed_age_ms = 0,
  /** Whether the sender holds the placement duty. */
  4: bool holds_duty = false,
}

/** Prefix cache of an engine. */
struct PrefixCache {
  /** Changes whenever the engine has lost its cache. */
  1: i64 cache_id = 0,
  /** Positions in a block. */
  2: i32 block = 0,
  /** Blocks in memory. */
  3: i64 blocks = 0,
  /** Whether prompts of different workspaces share no blocks. */
  4: bool isolated = false,
  /** Time to compute a position that is not held, microseconds. */
  5: double position_us = 0,
  /** Time of an iteration without any position, microseconds. */
  6: double step_us = 0,
}

/** What a sidecar's backend server can do now. */
struct Offer {
  1: string instance = "",
  2: string zone = "",
  /** "model" or "service". */
  3: string kind = "",
  4: string model = "",
  5: string version = "",
  6: list<string> adapters = [],
  /** Layers [first_layer, end_layer) of the model. */
  7: i32 first_layer = 0,
  8: i32 end_layer = 0,
  9: string service_name = "",
  10: bool ready = false,
  11: bool draining = false,
  12: i32 in_flight = 0,
  13: i32 limit = 0,
  /** Measured tokens a second of the backend server, 0 if unknown. */
  14: double tokens_per_s = 0,
  /** Of the layers of a backend server, the start time of its process. */
  15: i64 sequence = 0,
  16: string accelerator = "",
  /** Not set if the engine has no prefix cache. */
  20: optional PrefixCache cache,
}

/** One stage of a chain. */
struct Stage {
  1: string instance = "",
  2: string address = "",
  3: i32 first_layer = 0,
  4: i32 end_layer = 0,
}

/** Opens a stream, or a later generation of it, on one stage. */
struct StreamOpen {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: list<Stage> chain,
  /** Index of the receiving stage in chain. */
  4: i32 index = 0,
  5: string model = "",
  6: string version = "",
  7: string adapter = "",
  8: string workspace = "",
  9: i32 priority = 0,
  10: i64 seed = 0,
  11: i32 max_tokens = 0,
  12: i32 prompt_tokens = 0,
  /** Milliseconds from receipt until the entry gives up. */
  13: i64 deadline_ms = 0,
  14: string request = "",
  /** Fingerprint of the request, 64 bits. */
  15: i64 fingerprint = 0,
  /** Position at which the generation starts to emit tokens. */
  16: i32 resume_position = 0,
  17: bool suspect = false,
  /** JSON object of the sampling parameters, empty for the defaults. */
  20: string sampling = "",
  /** Keys of the prefixes of the prompt; not set unless the entry uses them. */
  21: optional list<i64> prefix_keys,
  /** Positions that each key stands for. */
  22: optional i32 key_positions,
}

struct StreamOpened {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 index = 0,
}

struct StreamRefused {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 index = 0,
  4: string code = "",
  5: string message = "",
  6: i64 retry_after_ms = 0,
}

/**
 * Work of one stream for one stage: the positions
 * [position, position + count).
 */
struct Step {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 position = 0,
  4: i32 count = 0,
  /** Token ids; only for the first stage. */
  5: list<i32> tokens = [],
  /** Activations for a later stage, as the engine encoded them. */
  6: binary activations,
}

struct StepBatch {
  1: list<Step> steps,
}

/** One generated token. */
struct Token {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 position = 0,
  4: i32 token = 0,
  /** Empty, "stop" or "length". */
  5: string finish = "",
}

struct TokenBatch {
  1: list<Token> tokens,
}

/** Asks the last stage to send tokens from a position again. */
struct StreamAttach {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 position = 0,
}

/** A stage of the stream failed, as seen by the sender. */
struct StreamFailed {
  1: i64 stream = 0,
  2: i32 generation = 0,
  /** Index of the failed stage in the chain. */
  3: i32 index = 0,
  /** "unreachable", "engine-lost", "engine-stalled" or "unknown-stream". */
  4: string reason = "",
  /** Next position at the sender. */
  5: i32 position = 0,
}

/** The stream has ended or is cancelled; later steps are refused. */
struct StreamClose {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: string reason = "",
}

struct Header {
  1: string name = "",
  2: string value = "",
}

/** A call of a plain service. */
struct Call {
  1: i64 call = 0,
  2: string workspace = "",
  3: string service_name = "",
  4: string method = "",
  5: string path = "",
  6: list<Header> headers,
  7: binary body,
  8: bool idempotent = false,
  9: string idempotency_key = "",
  10: i64 deadline_ms = 0,
  11: string request = "",
  12: i64 fingerprint = 0,
}

struct CallReply {
  1: i64 call = 0,
  2: i32 status = 0,
  3: list<Header> headers,
  4: binary body,
  /** Set when there is no answer of the service: the error code. */
  5: string code = "",
  /** "not-run", "may-have-run" or "ran". */
  6: string verdict = "",
  7: string message = "",
  8: i64 retry_after_ms = 0,
  /** The outcome was kept from an earlier run of the same key. */
  9: bool replayed = false,
}

struct CallCancel {
  1: i64 call = 0,
}

/** The sender has begun to drain. */
struct Leaving {
  1: string instance = "",
}

struct ConfigNotice {
  1: i64 revision = 0,
  2: i64 confirmed_age_ms = 0,
}

struct ConfigFetch {
  1: i64 since = 0,
}

/** One object of the configuration. */
struct ConfigRecord {
  1: string kind = "",
  2: string name = "",
  3: i64 revision = 0,
  /** JSON of the object; empty when deleted. */
  4: string body = "",
}

struct ConfigDelta {
  1: i64 since = 0,
  2: i64 revision = 0,
  3: i64 confirmed_age_ms = 0,
  /** True if records is the whole configuration. */
  4: bool full = false,
  5: list<ConfigRecord> records,
}

/**
 * Crashes of backend servers under requests: by fingerprint of the request, the
 * codes of the crashes, see `core.crashes`; none if a server has answered it.
 */
struct Quarantine {
  2: map<i64, list<i64>> crashes = {},
}

/** A server crashed while it was about to answer a request. */
struct PromptSuspicion {
  /** Fingerprint of a part of the prompt of that request. */
  1: i64 part = 0,
  /** Identity of the crash, the same for all entries. */
  2: i64 crash = 0,
  /** Number of crashes that followed each other, this one included. */
  3: i32 succession = 0,
  /** Position of the part in the prompt. */
  4: i32 depth = 0,
  /** Time since the last crash of the part. */
  5: i32 age_ms = 0,
}

/** Parts of prompts that may crash backend servers. */
struct PromptParts {
  1: list<PromptSuspicion> suspicions = [],
  /** Parts with which a server has begun an answer. */
  2: list<i64> cleared = [],
  /** Suspect parts whose crashes are no coincidence. */
  3: list<i64> confirmed = [],
}

/** What a backend server states about itself in its responses. */
struct ServerStatement {
  1: string instance = "",
  /** Start time of the server's process. */
  2: i64 started_at_ms = 0,
  /** Whether it limits the requests of all entries together. */
  3: bool is_limited = false,
  4: double limit_per_s = 0,
  /**
   * Time since the sender, or another entry, heard it. Without a limit, the
   * time since the request was sent.
   */
  5: i64 age_ms = 0,
  /** Whether the server shuts down. */
  6: bool is_leaving = false,
}

struct ServerStatements {
  1: list<ServerStatement> statements = [],
}

/** Asks for one request to a backend server that limits its requests. */
struct ReservationRequest {
  /** Chosen by the sender. */
  1: i64 id = 0,
  2: optional ServerStatement statement,
  /** Longest time that the request can wait. */
  3: i32 max_wait_ms = 0,
}

struct ReservationReply {
  1: i64 id = 0,
  2: bool is_granted = false,
  /** Time until the request, or the next one, may be sent. */
  3: i64 wait_ms = 0,
}

/** What a peer knows of the state of every process it has seen. */
struct ProcessRevision {
  1: string instance = "",
  2: string role = "",
  3: i64 revision = 0,
  4: i64 age_ms = 0,
}

struct RevisionReport {
  1: list<ProcessRevision> processes,
}

/** Demand for a service by the requests of one priority, in thousandths. */
struct Demand {
  1: string service = "",
  2: i32 priority = 0,
  /** Workspace of the requests; absent for those of all workspaces. */
  3: optional string workspace,
  /** Requests per second, rejected ones included. */
  4: i32 arrivals = 0,
  /** Streams that would be in progress if all requests were served. */
  5: i32 needed = 0,
  6: i32 in_progress = 0,
}

/** Demand at some entries; it replaces the previous report of the sender. */
struct DemandReport {
  1: list<Demand> demands = [],
  /** Number of entries that it covers, in thousandths. */
  2: i32 entries = 0,
  /** Mean age of the figures when the report was sent. */
  3: i32 age_ms = 0,
}

/**
 * Requests in flight by instance of the backend server: those of the sender and
 * of the entries that report to it.
 */
struct InFlight {
  1: map<string, i32> requests = {},
  /** Whether these are the requests of all entries, the receiver included. */
  2: bool total = false,
  /** Demand at the same entries; absent if no report is due. */
  3: optional DemandReport demand,
}

/** Backend servers that did not respond. */
struct Suspects {
  /** Servers that the sender suspects; the checkers among the receivers probe. */
  1: list<string> instances = [],
  /** Servers that a checker has probed without a response. */
  2: list<string> confirmed = [],
  /** Servers that have responded to a checker. */
  3: list<string> cleared = [],
}

struct TableRow {
  1: string key = "",
  /** Empty for a removed row. */
  2: binary value,
  3: i64 revision = 0,
  4: bool removed = false,
}

/** Changes of a table that the sender has read from the store itself. */
struct TableRows {
  1: string table = "",
  /** The changes are all those after this revision, */
  2: i64 after = 0,
  /** up to this one. */
  3: i64 revision = 0,
  4: list<TableRow> rows = [],
  /** The store's steady clock when it answered, milliseconds. */
  5: i64 clock_ms = 0,
  /** Not used; earlier versions kept lapsed rows for this time. */
  6: i64 return_ms = 0,
  /** Address of the entry that read them; empty: the sender. */
  7: string origin = "",
  /** Whether rows is the whole table, as an answer to TableFetch. */
  8: bool complete = false,
  /** Of a whole table: time since the store confirmed it, milliseconds. */
  9: i64 age_ms = 0,
}

/** Asks for a whole table as the receiver knows it. */
struct TableFetch {
  1: string table = "",
}

// Messages to and from the model engine.

struct EngineHello {
  1: string model = "",
  2: string version = "",
  3: list<string> adapters = [],
  4: i32 first_layer = 0,
  5: i32 end_layer = 0,
  6: i32 layers = 0,
  7: bool checks_fencing = false,
  8: i32 max_batch = 0,
  9: string accelerator = "",
  10: double tokens_per_s = 0,
  11: bool ready = false,
  /** Random for each start of the engine. */
  12: i64 incarnation = 0,
  /** Not set if the engine has no prefix cache. */
  13: optional PrefixCache cache,
}

struct EngineOpen {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i64 seed = 0,
  4: i32 priority = 0,
  5: i32 max_tokens = 0,
  6: i32 prompt_tokens = 0,
  7: string adapter = "",
  8: i64 fingerprint = 0,
  /** See StreamOpen. */
  20: string sampling = "",
  /** See StreamOpen. */
  21: optional list<i64> prefix_keys,
  /** See StreamOpen. */
  22: optional i32 key_positions,
  /** Workspace of the request, only for an engine that isolates workspaces. */
  23: optional string scope,
}

struct EngineRun {
  1: list<Step> steps,
}

/** The result of one step: activations, or a token from the last stage. */
struct StepResult {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 position = 0,
  4: i32 count = 0,
  5: binary activations,
  6: i32 token = 0,
  7: string finish = "",
  /** Empty, or why the engine could not run the step. */
  8: string error = "",
  /** Positions that the engine held; only for a prompt with prefix_keys. */
  9: optional i32 held,
}

struct EngineDone {
  1: list<StepResult> results,
}

struct EngineClose {
  1: i64 stream = 0,
  2: i32 generation = 0,
}

struct EngineLoad {
  1: i32 active = 0,
  2: i32 queued = 0,
  3: i64 measured_age_ms = 0,
  4: double tokens_per_s = 0,
  5: double step_ms = 0,
}

struct EngineCacheEvent {
  1: i64 sequence = 0,
  2: list<i64> stored = [],
  3: list<i64> evicted = [],
  /** See PrefixCache. */
  4: optional i64 cache_id,
  /** Keys of StreamOpen that are held now. */
  5: optional list<i64> stored_prefixes,
  /** Keys of StreamOpen that are no longer held. */
  6: optional list<i64> evicted_prefixes,
  /** Blocks stored since the cache was created. */
  7: optional i64 stored_total,
}

struct EngineOrder {
  1: i64 order = 0,
  2: i64 fencing = 0,
  /** "load-model", "load-adapter", "unload-adapter" or "set-layers". */
  3: string action = "",
  4: string model = "",
  5: string version = "",
  6: string adapter = "",
  7: i32 first_layer = 0,
  8: i32 end_layer = 0,
}

struct EngineOrderReply {
  1: i64 order = 0,
  /** Empty when done, else the reason. */
  2: string error = "",
}

struct KvExport {
  1: i64 stream = 0,
  2: i32 generation = 0,
}

struct KvImport {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 positions = 0,
  4: binary data,
  5: string error = "",
}

/** Changes of an engine's prefix cache, from its sidecar to an entry. */
struct CacheNews {
  1: i64 sequence = 0,
  /** See PrefixCache. */
  2: i64 cache_id = 0,
  /** Keys of StreamOpen that are held now. */
  3: list<i64> stored,
  /** Keys of StreamOpen that are no longer held. */
  4: list<i64> evicted,
  /** Blocks stored since the cache was created. */
  5: i64 stored_blocks = 0,
  /** Events of the engine that were lost since the last message. */
  6: i32 lost = 0,
}

/** Positions of a prompt that a stage held, once the prompt has run. */
struct PrefixHit {
  1: i64 stream = 0,
  2: i32 generation = 0,
  3: i32 index = 0,
  4: i32 held = 0,
}

struct Frame {
  1: optional Hello hello,
  2: optional Heartbeat heartbeat,
  3: optional Offer offer,
  4: optional StreamOpen stream_open,
  5: optional StreamOpened stream_opened,
  6: optional StreamRefused stream_refused,
  7: optional StepBatch step_batch,
  8: optional TokenBatch token_batch,
  9: optional StreamAttach stream_attach,
  10: optional StreamFailed stream_failed,
  11: optional StreamClose stream_close,
  12: optional Call call,
  13: optional CallReply call_reply,
  14: optional CallCancel call_cancel,
  15: optional Leaving leaving,
  16: optional ConfigNotice config_notice,
  17: optional ConfigFetch config_fetch,
  18: optional ConfigDelta config_delta,
  19: optional Quarantine quarantine,
  20: optional RevisionReport revision_report,
  21: optional InFlight in_flight,
  22: optional Suspects suspects,
  23: optional TableRows table_rows,
  24: optional PromptParts prompt_parts,
  25: optional ServerStatements server_statements,
  26: optional ReservationRequest reservation_request,
  27: optional ReservationReply reservation_reply,
  29: optional TableFetch table_fetch,
  36: optional CacheNews cache_news,
  37: optional PrefixHit prefix_hit,
  40: optional EngineHello engine_hello,
  41: optional EngineOpen engine_open,
  42: optional EngineRun engine_run,
  43: optional EngineDone engine_done,
  44: optional EngineClose engine_close,
  45: optional EngineLoad engine_load,
  46: optional EngineCacheEvent engine_cache_event,
  47: optional EngineOrder engine_order,
  48: optional EngineOrderReply engine_order_reply,
  49: optional KvExport kv_export,
  50: optional KvImport kv_import,
}
