// Messages between hawthornspoke processes.
//
// Every struct that crosses the network carries `revision`, the highest accepted
// configuration revision its sender has seen. Fields are optional so that a newer
// program may add some and an older one skip them during an upgrade.

namespace py hawthornspoke.protocol._gen

const i32 PROTOCOL_VERSION = 1

enum Role { ENTRY = 1, AGENT = 2 }

enum EventKind { STARTED = 1, TOKENS = 2, DONE = 3, REFUSED = 4, FAILED = 5, HEAD = 6 }

// One live version on an endpoint: what a service is answered with there.
struct Live {
  1: optional string service_name,
  2: optional string digest,
}

// State of one node as it was when the node itself sent it (seq orders them).
struct Member {
  1: optional string node,
  2: optional Role role,
  3: optional string failure_domain,
  4: optional string address,
  5: optional i32 port,
  6: optional i64 incarnation,
  7: optional i64 seq,
  8: optional bool leaving,
  9: optional list<Live> live,
  10: optional i32 running,
  11: optional i32 queued,
  12: optional i32 slots,
  13: optional i64 revision,
  14: optional map<string, double> demand,
  15: optional i32 weight,
  16: optional i32 age_ms,
  17: optional map<string, i32> progress,
  18: optional i32 warming,
  // seq at which the fields that rarely change (live, leaving, address ...) last did.
  19: optional i64 static_seq,
  // Without those fields: the receiver keeps the ones it has of the same static_seq.
  20: optional bool light,
}

// One datagram: the sender's own state, and what it relays of others.
struct Gossip {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional string document,
  4: optional Member sender,
  5: optional list<Member> members,
  6: optional bool reply_wanted,
}

// Chunks that the sender has newly verified; `held` is its total, so that a
// receiver notices a lost datagram.
struct Announce {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional string node,
  4: optional string digest,
  5: optional binary indices,
  6: optional i32 held,
}

// A request that an endpoint was running when its process ended.
struct EndEvidence {
  // Of what repeats of the request have in common.
  1: optional string fingerprint,
  // Of the endpoint: its id, with the time of the start if that is known.
  2: optional string endpoint_start,
  // For how long it still holds.
  3: optional i32 left_ms,
  // Whether the request is known not to be the cause.
  4: optional bool cleared,
  // Without an endpoint start: how many requests with this feature were sent since it
  // was quarantined, to see whether it still crashes endpoints, and how often answers
  // have cleared it before. `left_ms` counts from the last such request.
  5: optional i32 retrials,
  6: optional i32 clearings,
}

// From an entry host to an agent: it wants to send a request with a quarantined
// feature. `known` is what it knows of earlier ones.
struct RetrialClaim {
  1: optional EndEvidence known,
}

struct RetrialGrant {
  1: optional bool is_granted,
}

// From one entry host to all others.
struct EvidenceNews {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional list<EndEvidence> items,
}

// A datagram holds exactly one of these.
struct Datagram {
  1: optional Gossip gossip,
  2: optional Announce announce,
  3: optional EvidenceNews evidence,
}

struct Submit {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional string request_id,
  4: optional string service_name,
  5: optional string digest,
  6: optional i32 priority,
  7: optional i32 remaining_ms,
  8: optional string method,
  9: optional string path,
  10: optional map<string, string> headers,
  11: optional binary body,
  12: optional i32 resume_from,
  13: optional string adapter,
}

struct Event {
  1: optional EventKind kind,
  2: optional binary data,
  3: optional string reason,
  4: optional i32 retry_after_ms,
  5: optional i32 status,
  6: optional map<string, string> headers,
  7: optional string digest,
  8: optional i32 count,
}

struct Events {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional string request_id,
  4: optional list<Event> events,
  5: optional i32 running,
  6: optional i32 queued,
}

struct ChunkAsk {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional string digest,
  4: optional i32 index,
  5: optional string node,
  // Bytes per second at which the sender of the question can receive the chunk.
  6: optional i32 rate,
}

struct Chunk {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional binary data,
  4: optional string reason,
}

struct Holdings {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional binary bitmap,
  4: optional i32 held,
}

struct Document {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional string digest,
  4: optional binary data,
}

struct DrainReply {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional i32 running,
}

// What a node tells an operator.
struct Status {
  1: optional i32 version,
  2: optional i64 revision,
  3: optional Member member,
  4: optional i64 in_force,
  5: optional i64 origin_bytes,
  6: optional i64 peer_bytes,
  7: optional map<string, string> problem_by_key,
}

// An endpoint whose host takes part in spreading weights.
struct PeerEndpoint {
  1: optional string endpoint_id,
  2: optional string address,
  3: optional string failure_domain,
  4: optional bool leaving,
}

// A declared version, and how long before the message that was at the most and at least.
struct DeclaredAge {
  1: optional i64 version,
  2: optional i64 age_ms,
  3: optional i64 known_ms,
}

// What an entry host has read from the platform and agents act on.
struct Directive {
  1: optional string model,
  // Declared weights, and how long ago that was at the most; absent if unknown.
  2: optional i64 weights_version,
  3: optional i64 age_ms,
  // Absent if the sender does not read the platform itself: then only the version
  // and the failure domain are news, and another entry host tells the rest.
  4: optional list<PeerEndpoint> peers,
  // Pieces of the weights: how many, their size in bytes, layers they make up.
  5: optional i32 pieces,
  6: optional i32 piece_bytes,
  7: optional i32 layers,
  8: optional string origin_address,
  9: optional i32 version_bound_ms,
  // Failure domain of the sender; agents tell load often only within their own.
  10: optional string failure_domain,
  // Seconds, as the engine needs them to take up all layers.
  11: optional double load_time,
  // Path at which the engine says how slow its host is; absent if it needn't be asked.
  12: optional string health_path,
  // Versions before the declared one that were declared lately, as far as the sender
  // knows; it may have inferred one that it has never read.
  13: optional list<DeclaredAge> earlier_versions,
  // When the directive was made, which ages count from, on the clock of ClockReading.
  14: optional i64 made_us,
  // How long ago the version was declared at least.
  15: optional i64 known_ms,
}

// Asks an agent for what entry hosts told it last.
struct DirectiveAsk {
  1: optional string failure_domain,
}

// State of an agent's engine as read on its own host a moment ago.
struct EngineState {
  1: optional string endpoint_address,
  2: optional string model,
  3: optional i64 weights_version,
  4: optional i32 layer_from,
  5: optional i32 layer_to,
  6: optional i32 running,
  7: optional i32 waiting,
  8: optional bool loading,
  9: optional double pace,
  // Milliseconds until the next version is expected to be usable; -1 if unknown.
  10: optional i32 next_ready_ms,
  11: optional i64 next_version,
  // Entry hosts that are connected to the agent; each connects to every agent.
  12: optional i32 entry_hosts,
  // Milliseconds by which messages over the host's link are late, there and back.
  13: optional i32 link_delay_ms,
  // Versions that were declared lately, as far as the agent was told. `age_ms` includes
  // `link_delay_ms`, for receivers that count it from the arrival.
  14: optional list<DeclaredAge> declared,
  // Unix milliseconds of the engine's start, which all of this is about.
  15: optional i64 started_ms,
  // Factor by which other work on the host slows the engine down; absent if unknown.
  16: optional double slowdown,
  // Sums over the connected entry hosts: requests per second of those in the agent's
  // failure domain, and overflow of all of them. Absent if none has sent its rates.
  17: optional double local_request_rate,
  18: optional double overflow_rate,
  // When the state was made, which ages count from, on the clock of ClockReading.
  19: optional i64 made_us,
}

// Requests per second for the agent's service that an entry host places, and the part
// of them for which its own failure domain has no capacity.
struct HostRequestRates {
  1: optional double requests,
  2: optional double overflow,
}

struct HoldingsAsk {
  1: optional string digest,
}

// Asks an agent for the digests of a version's pieces, in order.
struct ManifestAsk {
  1: optional string weights,
}

struct Manifest {
  // 32 bytes each; absent if the sender does not know them.
  1: optional list<binary> digests,
}

struct RemoteEntryHost {
  1: optional string address,
  2: optional string failure_domain,
}

// Entry hosts of the agent's failure domain that are connected to it, by IP, and the
// first ones of each other failure domain.
struct EntryHosts {
  1: optional list<string> addresses,
  2: optional list<RemoteEntryHost> remote,
}

// One row of the platform's tables; without data it was removed.
struct TableRow {
  1: optional string key,
  2: optional binary data,
  // Of the platform's transaction that wrote it.
  3: optional i64 row_revision,
  4: optional bool compressed,
  // Milliseconds before the answer from which the row may date; absent if unknown.
  5: optional i64 written_age_ms,
  // Of the row's revision; absent if it is the answer's.
  6: optional i64 era,
  // Last known data of a removed row.
  7: optional binary removed_data,
}

// Asks a neighbour what changed in a table since a revision, -1 for all of it.
struct TableAsk {
  1: optional string table,
  2: optional i64 after,
  3: optional i32 wait_ms,
  // The newest era of the platform's store that the sender knows, and that of `after`.
  4: optional i64 era,
  5: optional i64 after_era,
  // Of the answer by which the sender knows the table.
  6: optional i32 generation,
  // Whether only rows known from earlier eras are asked for, from any host.
  7: optional bool earlier_eras,
}

struct TableNews {
  // Whether the sender reads the platform itself and hears from it.
  1: optional bool current,
  2: optional bool whole,
  3: optional i64 up_to,
  4: optional list<TableRow> rows,
  // For how long the question was held, and how long before the answer the
  // platform confirmed what the sender knows.
  5: optional i32 held_ms,
  6: optional i32 age_ms,
  // Era of `up_to`, and of rows that name none.
  7: optional i64 era,
  // Grows when the sender's table changes in a way that revisions don't show.
  8: optional i32 generation,
  // Rows after it were written after the restore that began the era.
  9: optional i64 copied_until,
  // How long ago the sender last failed to read the platform; absent if it could read
  // it or has not tried lately.
  10: optional i32 failed_age_ms,
}

// The rate limit that an endpoint names in its responses.
struct EndpointRateLimit {
  1: optional string endpoint_id,
  // Unix milliseconds of the endpoint's start; absent if unknown.
  2: optional i64 started_ms,
  // Requests per second from all entry hosts together; absent if it names none any more.
  3: optional double rate,
  // Since an entry host learned it from a response, if that is repeated; absent at first.
  4: optional i32 age_ms,
}

// From an entry host: asks for permits to send requests to an endpoint with a limit.
struct PermitClaim {
  1: optional EndpointRateLimit limit,
  2: optional i32 wanted,
}

// Answers a claim. Each permit is for one request.
struct PermitGrant {
  // 0: none for now.
  1: optional i32 count,
  // Until the permits may be used; with a count of 0, until the next claim.
  2: optional i32 usable_in_ms,
  // Until they expire.
  3: optional i32 left_ms,
}

// A reading of the sender's boot-time clock. A message and its answer bound the
// difference between the clocks of two processes; see ClockOffset.
struct ClockReading {
  1: optional i64 sent_us,
  // The newest `sent_us` that the sender had received on this connection.
  2: optional i64 echo_us,
  // Asks for a reading of the receiver's clock.
  3: optional bool answer_wanted,
}

// One message on a peer connection; `call` pairs a question with its answer.
// Retries of an entry host, by service, since the start of its process. It reports
// them before it uses them; the first report on a connection is answered.
struct RetriesUsed {
  1: optional string node,
  2: optional map<string, i32> count_by_service,
  // Requests, each of which earns a part of a retry.
  3: optional map<string, i32> requests_by_service,
}

// To an entry host: what processes on it used before, in the last window.
struct RetryHistory {
  // For how long nothing that they used was missed.
  1: optional i32 covered_ms,
  // Whether there were any.
  2: optional bool is_known,
  // Number of entry hosts in the recent past.
  3: optional i32 entry_hosts,
  // By service: how many in the last second, in the one before, and so on.
  4: optional map<string, list<i32>> counts_by_service,
  5: optional map<string, list<i32>> requests_by_service,
}

struct Frame {
  1: optional i32 call,
  2: optional Announce announce,
  3: optional ChunkAsk chunk_ask,
  4: optional Chunk chunk,
  5: optional HoldingsAsk holdings_ask,
  6: optional Holdings holdings,
  7: optional Directive directive,
  8: optional EngineState engine_state,
  9: optional EntryHosts entry_hosts,
  10: optional TableAsk table_ask,
  11: optional TableNews table_news,
  12: optional ManifestAsk manifest_ask,
  13: optional Manifest manifest,
  14: optional DirectiveAsk directive_ask,
  // Asks for an empty answer, to see how long it takes.
  15: optional bool probe,
  // Whether the sender, an entry host, wants to hear of each change of the load. An
  // agent takes it to until it is told otherwise.
  16: optional bool follows,
  // From an entry host: what it saw, on connecting all of it. From an agent: what
  // entry hosts together saw.
  17: optional list<EndEvidence> evidence,
  // From an entry host, on connecting: its failure domain. The agent then names
  // the neighbours to it even if it has no configuration, and so sends no directive.
  18: optional string entry_domain,
  // From an entry host: limits that changed. From an agent: what entry hosts sent it.
  19: optional list<EndpointRateLimit> rate_limits,
  20: optional PermitClaim permit_claim,
  21: optional PermitGrant permit_grant,
  // From an entry host, whenever its rates have changed considerably.
  22: optional HostRequestRates request_rates,
  // Between entry hosts and agents.
  23: optional ClockReading clock,
  24: optional RetrialClaim retrial_claim,
  25: optional RetrialGrant retrial_grant,
  26: optional RetriesUsed retries_used,
  27: optional RetryHistory retry_history,
}

service Node {
  Status status(),
  // The whole state as JSON.
  string dump(),

  // Accepted configuration document by digest, if this node holds it.
  Document document(1: string digest),
  // Refuse new work from now on; answers what still runs.
  DrainReply drain(1: string reason),

  // Agent only. Queue or start a request; the first events of it.
  Events submit(1: Submit request),
  // Agent only. Further events; waits up to max_wait_ms for the first.
  Events read(1: string request_id, 2: i32 max_wait_ms),
  // Agent only. The caller is gone.
  void cancel(1: string request_id),
  // Agent only. One verified chunk of weights.
  Chunk chunk(1: ChunkAsk ask),
  // Agent only. Which chunks of a digest are held.
  Holdings holdings(1: string digest),
}
