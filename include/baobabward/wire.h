/*
 * Protocol between the nodes of a fleet: typed messages and their MessagePack
 * encoding.
 *
 * A message is an array [BB_WIRE_VERSION, type, fields...]. A message is
 * rejected as a whole if it has another protocol version, missing or extra
 * fields, a value out of range, or a string or list over the limits below.
 */
#ifndef BAOBABWARD_WIRE_H
#define BAOBABWARD_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/error.h"
#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_WIRE_VERSION 1
/* Longest host, service, route, account or backend name, in bytes. */
#define BB_NAME_MAX 128
/* Largest number of headers of a request or response. */
#define BB_HEADERS_MAX 128
/* Largest body within a message, in bytes, and so of a response. */
#define BB_BODY_MAX (16u << 20)
/*
 * Largest body of a request between nodes, in bytes. The receiver reads one over
 * BB_BODY_MAX in parts of at most BB_BODY_PART_MAX.
 */
#define BB_REQUEST_BODY_MAX (64u << 20)
#define BB_BODY_PART_MAX (1u << 20)
/* Largest number of entries of a list in a control message. */
#define BB_LIST_MAX 4096
/* Longest request target, header name and header value, in bytes. */
#define BB_TARGET_MAX 8192
#define BB_HEADER_NAME_MAX 256
#define BB_HEADER_VALUE_MAX 16384
/* Longest page of the configuration, in bytes. */
#define BB_PAGE_MAX (1u << 20)
/* Longest key and value of an item of the registry, in bytes. */
#define BB_REGISTRY_KEY_MAX 256
#define BB_REGISTRY_VALUE_MAX (1u << 20)
/* Largest number of backend servers in one message of reports. */
#define BB_REPORTS_MAX 256
/* Largest encoded message, in bytes: a body and 1 MiB for everything else. */
#define BB_WIRE_SIZE_MAX (BB_BODY_MAX + (1u << 20))
/*
 * Unit of an age in a digest, and the largest age that a digest can carry: an
 * age is one byte.
 */
#define BB_DIGEST_AGE_MS 50
#define BB_DIGEST_AGE_MAX_MS (255 * BB_DIGEST_AGE_MS)
/* Largest number of sections, that is, configuration versions, of a digest. */
#define BB_DIGEST_SECTIONS_MAX 8

/**
 * enum bb_message_type - type of a message, the tag of struct bb_message.
 */
enum bb_message_type {
	BB_MESSAGE_HELLO,
	BB_MESSAGE_WELCOME,
	BB_MESSAGE_EXECUTE,
	BB_MESSAGE_RESULT,
	BB_MESSAGE_CANCEL,
	BB_MESSAGE_DIGEST_REQUEST,
	BB_MESSAGE_DIGEST,
	BB_MESSAGE_PAGE_REQUEST,
	BB_MESSAGE_PAGE,
	BB_MESSAGE_LEASE_REQUEST,
	BB_MESSAGE_LEASE_GRANT,
	BB_MESSAGE_LEASE_RELEASE,
	BB_MESSAGE_DRAW,
	BB_MESSAGE_DRAW_GRANT,
	BB_MESSAGE_PERMIT_REQUEST,
	BB_MESSAGE_PERMIT_GRANT,
	BB_MESSAGE_RECORD,
	BB_MESSAGE_RECORD_REPLY,
	BB_MESSAGE_RECORD_TRANSFER,
	BB_MESSAGE_SUMMARY_REQUEST,
	BB_MESSAGE_SUMMARY,
	BB_MESSAGE_REGISTRY_READ,
	BB_MESSAGE_REGISTRY_CHANGES,
	BB_MESSAGE_BACKEND_REPORTS,
	BB_MESSAGE_EXECUTE_LARGE,
	BB_MESSAGE_BODY_READ,
	BB_MESSAGE_BODY_PART,
	BB_MESSAGE_TYPE_COUNT
};

/* Name of each message type, indexed by enum bb_message_type. */
extern const char *const bb_message_type_string[];

/**
 * struct bb_bytes - bytes that the struct does not own.
 * @data: first byte, may be NULL when @size is 0
 * @size: number of bytes
 */
struct bb_bytes {
	const char *data;
	size_t size;
};

/**
 * struct bb_header - one HTTP header; the bytes are not owned.
 */
struct bb_header {
	struct bb_bytes name;
	struct bb_bytes value;
};

/**
 * struct bb_request_id - identifies a request within the fleet.
 * @incarnation: incarnation of the entry node
 * @sequence: number of the attempt at that node, never used twice
 */
struct bb_request_id {
	uint64_t incarnation;
	uint64_t sequence;
};

/**
 * struct bb_load - load of a backend server as its adjacent node sees it.
 * @in_flight: requests that it is running
 * @queued: requests waiting for a slot at the adjacent node
 * @slots: largest number of requests that it may run at once, less than
 *         configured after a readmission and while it limits its rate
 * @avoid_for_us: time for which it should get no requests because it is
 *                ejected, leaving or backing off; 0 if it accepts them
 * @work_us: expected time in slots that its running and queued requests still
 *           need, 0 if unknown
 * @speed_permille: expected time of the requests that it ran, in thousandths of
 *                  the time that they took there; 0 if unknown
 */
struct bb_load {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t slots;
	int64_t avoid_for_us;
	int64_t work_us;
	uint32_t speed_permille;
};

/**
 * struct bb_backend_report - load of a backend server beside the sender.
 * @backend: its name
 * @started_ms: when it started, which tells its starts apart; 0 if unknown
 * @load: its load
 */
struct bb_backend_report {
	struct bb_bytes backend;
	uint64_t started_ms;
	struct bb_load load;
};

/**
 * struct bb_message_hello - opens a session with another node.
 * @incarnation: of the sender
 * @config_version: version of the sender's configuration
 * @nonce: copied to the WELCOME
 */
struct bb_message_hello {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
};

/**
 * struct bb_message_welcome - answer to HELLO.
 * @incarnation: of the node that answers, the receiver of the HELLO
 * @config_version: version of its configuration
 * @nonce: of the HELLO
 * @receiver_clock_us: its clock when it answered
 * @reports: load of the backend servers beside it
 */
struct bb_message_welcome {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	int64_t receiver_clock_us;
	struct bb_backend_report *reports;
	size_t reports_nr;
};

/**
 * struct bb_message_backend_reports - unasked load of backend servers beside the
 * sender, to nodes that opened a session with it.
 * @incarnation: of the sender
 * @clock_us: its clock when it sent this
 * @reports: backend servers whose state changed
 */
struct bb_message_backend_reports {
	uint64_t incarnation;
	int64_t clock_us;
	struct bb_backend_report *reports;
	size_t reports_nr;
};

/**
 * struct bb_message_execute - asks the adjacent node to run a request.
 * @id: identifies the attempt; the same id is never executed twice
 * @receiver_incarnation: incarnation of the receiver that the sender knows
 * @not_after_us: latest start of execution, in the receiver's clock
 * @config_version: version of the sender's configuration
 * @idempotent: the request may run more than once
 * @last_resort: the entry node has no other backend server left; the request is
 *               admitted even if the breaker is open, see breaker.h
 * @may_wait: without a free slot the request is queued, otherwise refused at
 *            once
 * @limit_milli: limit that the backend server named in an answer to the sender,
 *               in thousandths of a request per second, 0 for none; holds if
 *               the receiver has had no answer from the backend server yet
 * @cost_us: time in a slot that the sender expects the request to need on a
 *           backend server of mean speed, 0 if unknown
 * @backend: name of the backend server
 * @account: name of the client account
 * @route: name of the route
 * @target: request target, path and query
 */
struct bb_message_execute {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	int64_t not_after_us;
	uint64_t config_version;
	bool idempotent;
	bool last_resort;
	bool may_wait;
	uint32_t limit_milli;
	int64_t cost_us;
	struct bb_bytes backend;
	struct bb_bytes account;
	struct bb_bytes route;
	struct bb_bytes method;
	struct bb_bytes target;
	struct bb_bytes traceparent;
	struct bb_header *headers;
	size_t headers_nr;
	struct bb_bytes body;
};

/**
 * struct bb_message_execute_large - EXECUTE of a request whose body is over
 * BB_BODY_MAX.
 * @execute: the request, with an empty body
 * @body_bytes: size of the body
 *
 * The receiver refuses it with a RESULT, or reads the body with BODY_READ, one
 * part after the other, before it executes the request.
 */
struct bb_message_execute_large {
	struct bb_message_execute execute;
	uint32_t body_bytes;
};

/**
 * struct bb_message_body_read - asks for a part of the body of a request.
 * @id: of the EXECUTE_LARGE
 * @receiver_incarnation: incarnation of the node that answers the EXECUTE_LARGE,
 *                        the sender
 * @offset: first byte of the part
 * @size: size of the part, at most BB_BODY_PART_MAX
 */
struct bb_message_body_read {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	uint32_t offset;
	uint32_t size;
};

/**
 * struct bb_message_body_part - answer to BODY_READ.
 * @id: of the EXECUTE_LARGE
 * @receiver_incarnation: of the EXECUTE_LARGE
 * @offset: first byte of the part
 * @bytes: the part
 */
struct bb_message_body_part {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	uint32_t offset;
	struct bb_bytes bytes;
};

/**
 * struct bb_message_result - answer to EXECUTE.
 * @id: of the EXECUTE
 * @receiver_incarnation: incarnation of the node that answers, the receiver of
 *                        the EXECUTE
 * @verdict: whether the request ran
 * @reason: why it failed or was refused, or BB_REASON_NONE
 * @status: HTTP status code of the response
 * @load: load of the backend server
 * @service_us: time that the request spent in a slot, 0 if it did not run
 */
struct bb_message_result {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	enum bb_verdict verdict;
	enum bb_reason reason;
	uint32_t status;
	struct bb_load load;
	int64_t service_us;
	struct bb_header *headers;
	size_t headers_nr;
	struct bb_bytes body;
};

/**
 * struct bb_message_cancel - withdraws a request sent with EXECUTE.
 * @id: of the EXECUTE
 * @receiver_incarnation: of the EXECUTE
 * @not_after_us: of the EXECUTE; the receiver remembers the id until then
 */
struct bb_message_cancel {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	int64_t not_after_us;
};

/**
 * struct bb_message_digest_request - asks a node for its liveness evidence.
 * @incarnation: of the sender
 * @config_version: accepted by the sender
 * @nonce: copied to the digest
 * @max_entries: largest number of seats in the answer
 */
struct bb_message_digest_request {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	uint32_t max_entries;
};

/**
 * struct bb_digest_section - liveness evidence on the seats with one version.
 * @config_version: version that these seats had accepted at the time of the
 *                  evidence, 0 for seats that were starting and had accepted
 *                  none
 * @first_seat: seat of the first bit of @seats, a multiple of 8
 * @seats: bitmap, least significant bit first: the seats with evidence
 * @ages: one byte for each set bit of @seats, in order: upper bound of the
 *        time since the seat asserted @config_version, in units of
 *        BB_DIGEST_AGE_MS, rounded up
 * @stopping: bitmap that starts at @first_seat, a subset of @seats and not
 *            longer than it: seats that announced a planned stop
 *
 * A seat is an index into the host list that the digest's @seats_hash
 * identifies. A digest of 580 seats in one section takes about 1.2 bytes per
 * seat.
 */
struct bb_digest_section {
	uint64_t config_version;
	uint32_t first_seat;
	struct bb_bytes seats;
	struct bb_bytes ages;
	struct bb_bytes stopping;
};

/**
 * struct bb_message_digest - answer to a digest request, or, with @nonce 0, a
 * notice of a planned stop.
 * @incarnation: of the sender
 * @config_version: accepted by the sender, 0 while it is starting
 * @nonce: of the request, or 0
 * @candidate_version: highest version that a starting sender, or a starting
 *                     seat that it heard of, has read; 0 once the sender has a
 *                     version in force
 * @seats_hash: hash of the sender's seat list, see struct bb_config
 * @stopping: the sender is about to stop
 * @sections: evidence on other seats; the answer itself is the evidence on the
 *            sender, with @config_version
 */
struct bb_message_digest {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	uint64_t seats_hash;
	bool stopping;
	struct bb_digest_section *sections;
	size_t sections_nr;
	uint64_t candidate_version;
};

/**
 * struct bb_message_page_request - asks for a page of the configuration.
 * @config_version: version of the configuration
 * @name: name of the page
 */
struct bb_message_page_request {
	uint64_t config_version;
	struct bb_bytes name;
};

/**
 * struct bb_message_page - a page of the configuration.
 * @config_version: version of the configuration
 * @name: name of the page
 * @content: the page itself
 * @signature: signature of the page
 */
struct bb_message_page {
	uint64_t config_version;
	struct bb_bytes name;
	struct bb_bytes content;
	struct bb_bytes signature;
};

/**
 * struct bb_message_lease_request - asks a lender for leases on groups, or for
 * their renewal.
 * @incarnation: of the sender
 * @config_version: version of the sender's configuration
 * @nonce: copied to the grant
 * @groups: groups that are wanted from this lender
 */
struct bb_message_lease_request {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	uint32_t *groups;
	size_t groups_nr;
};

/**
 * struct bb_lease_grant - answer to a lease request for one group.
 * @group: number of the group
 * @term_ms: length of the lease, 0 if it is refused
 * @seats: size of the group's committee, 1 to 15; the lease is 1/@seats of the
 *         group
 * @continuous: no other borrower or incarnation held it since the last grant
 *              to this borrower
 */
struct bb_lease_grant {
	uint32_t group;
	uint32_t term_ms;
	uint32_t seats;
	bool continuous;
};

/**
 * struct bb_message_lease_grant - answer to a lease request.
 * @incarnation: of the lender
 * @config_version: version of the lender's configuration
 * @nonce: of the request
 * @grants: one for each group of the request
 */
struct bb_message_lease_grant {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	struct bb_lease_grant *grants;
	size_t grants_nr;
};

/**
 * struct bb_message_lease_release - gives leases back before they end.
 * @incarnation: of the sender
 * @nonce: from the same counter as the nonces of lease requests, so that the
 *         lender can order a release among them
 * @groups: groups whose leases are released
 */
struct bb_message_lease_release {
	uint64_t incarnation;
	uint64_t nonce;
	uint32_t *groups;
	size_t groups_nr;
};

/**
 * struct bb_draw - tokens that one account draws; amounts in micro-tokens.
 * @account: name of the client account
 * @wanted: tokens requested
 * @held: all tokens of this holder that the sender still has
 * @returned: unspent tokens given back, not part of @held
 * @valid_ms: longest validity that the sender can use
 *
 * @held is an absolute amount, so that the next message corrects the loss of
 * one. For tokens that decrease linearly (see struct bb_draw_grant) the message
 * restarts the linear decrease, at the sender and at the holder: from @held now
 * to 0 at the same end of validity as before.
 */
struct bb_draw {
	struct bb_bytes account;
	uint32_t wanted;
	uint32_t held;
	uint32_t returned;
	uint32_t valid_ms;
};

/**
 * struct bb_message_draw - asks the holder of a group for rate limit tokens.
 * @incarnation: of the sender
 * @nonce: copied to the grant
 * @draws: one for each account
 */
struct bb_message_draw {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_draw *draws;
	size_t draws_nr;
};

/*
 * Values of bb_draw_grant.retry_ms from here on are this base and a number of
 * tokens. It is above the longest time to retry.
 */
#define BB_DRAW_RETRY_NEW_SHARE_BASE UINT32_C(0x10000)

/**
 * struct bb_draw_grant - answer for one account, in the order of the draw.
 * @granted: micro-tokens granted
 * @valid_ms: time in which these tokens and the ones already held may be spent,
 *            counted from before the request; 0 leaves the held ones as they
 *            are. Above BB_DRAW_VALID_SHORT_US the amount that the sender may
 *            still spend decreases linearly, from @granted and the held ones at
 *            the request to 0 at the end
 * @retry_ms: time until the next token is expected; 0 if enough were granted; 1
 *            if all tokens are drawn, so that some may be returned at any time.
 *            From BB_DRAW_RETRY_NEW_SHARE_BASE on, the bucket is short only
 *            because the holder's share of the account is new, and the value
 *            less this base is the number of tokens that arrive in the time
 *            that a request waits
 *
 * All three are 0 when the sender holds no lease of the account's group.
 */
struct bb_draw_grant {
	uint32_t granted;
	uint32_t valid_ms;
	uint32_t retry_ms;
};

/**
 * struct bb_message_draw_grant - answer to a draw.
 * @incarnation: of the holder
 * @nonce: of the draw
 * @grants: one for each account of the draw
 */
struct bb_message_draw_grant {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_draw_grant *grants;
	size_t grants_nr;
};

/**
 * struct bb_message_permit_request - asks for a permit to eject a backend
 * server, or gives it back.
 * @incarnation: of the sender
 * @nonce: copied to the grant
 * @service: name of the service
 * @backend: name of the backend server
 * @release: the permit is given back
 */
struct bb_message_permit_request {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_bytes service;
	struct bb_bytes backend;
	bool release;
};

/**
 * struct bb_message_permit_grant - answer to a permit request.
 * @incarnation: of the sender
 * @nonce: of the request
 * @service: name of the service
 * @backend: name of the backend server
 * @term_ms: time for which the permit holds, 0 if it is refused
 */
struct bb_message_permit_grant {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_bytes service;
	struct bb_bytes backend;
	uint32_t term_ms;
};

/**
 * enum bb_record_state - what is known about an idempotency key.
 * @BB_RECORD_NEW: first use, now in progress for the attempt that asks
 * @BB_RECORD_IN_PROGRESS: another attempt with the key is running
 * @BB_RECORD_DONE: the request finished; its outcome follows
 * @BB_RECORD_MAY_HAVE_RUN: the request may have run, or the record was lost
 * @BB_RECORD_MISMATCH: the key was used with another request
 * @BB_RECORD_UNAVAILABLE: this node does not hold the group; nothing recorded
 * @BB_RECORD_ABSENT: only for a lookup: the key was certainly not used
 */
enum bb_record_state {
	BB_RECORD_NEW,
	BB_RECORD_IN_PROGRESS,
	BB_RECORD_DONE,
	BB_RECORD_MAY_HAVE_RUN,
	BB_RECORD_MISMATCH,
	BB_RECORD_UNAVAILABLE,
	BB_RECORD_ABSENT,
	BB_RECORD_STATE_COUNT
};

/**
 * enum bb_record_action - operation on an idempotency record.
 * @BB_RECORD_BEGIN: record the first use, or return the state
 * @BB_RECORD_FINISH: store the outcome, or delete the record if the verdict is
 *                    not-run
 * @BB_RECORD_LOOKUP: return the state and change nothing
 */
enum bb_record_action {
	BB_RECORD_BEGIN,
	BB_RECORD_FINISH,
	BB_RECORD_LOOKUP,
	BB_RECORD_ACTION_COUNT
};

/**
 * struct bb_outcome - stored outcome of a request with an idempotency key.
 * @verdict: whether the request ran
 * @status: HTTP status code
 */
struct bb_outcome {
	enum bb_verdict verdict;
	uint32_t status;
	struct bb_bytes content_type;
	struct bb_bytes body;
};

/**
 * struct bb_message_record - operation on an idempotency record, sent to the
 * holder of the key's group.
 * @nonce: copied to the reply
 * @id: attempt that asks; a BEGIN repeated by the same attempt has no effect
 * @action: the operation
 * @group: group of the key
 * @account_hash: hash of the account's name, for the limit per account
 * @timeout_ms: for BB_RECORD_BEGIN: time until the attempt has ended at the
 *              latest, 0 if unknown
 * @key_hash: hash of account, route and key (32 bytes)
 * @fingerprint: hash of method, target and body
 * @outcome: for BB_RECORD_FINISH: outcome to store
 */
struct bb_message_record {
	uint64_t nonce;
	struct bb_request_id id;
	enum bb_record_action action;
	uint32_t group;
	uint64_t account_hash;
	uint32_t timeout_ms;
	uint8_t key_hash[32];
	uint64_t fingerprint;
	struct bb_outcome outcome;
};

/**
 * struct bb_message_record_reply - answer to a record operation.
 * @nonce: of the operation
 * @id: of the operation
 * @state: state of the key
 * @outcome: stored outcome if @state is BB_RECORD_DONE
 */
struct bb_message_record_reply {
	uint64_t nonce;
	struct bb_request_id id;
	enum bb_record_state state;
	struct bb_outcome outcome;
};

/**
 * struct bb_record_entry - one record transferred to the next holder.
 * @key_hash: see struct bb_message_record
 * @id: attempt that used the key
 * @account_hash: see struct bb_message_record
 * @fingerprint: see struct bb_message_record
 * @age_ms: time since the first use
 * @state: state of the key
 * @outcome: stored outcome
 */
struct bb_record_entry {
	uint8_t key_hash[32];
	struct bb_request_id id;
	uint64_t account_hash;
	uint64_t fingerprint;
	uint32_t age_ms;
	enum bb_record_state state;
	struct bb_outcome outcome;
};

/**
 * enum bb_transfer_kind - step of a transfer of the records of a group.
 * @BB_TRANSFER_OFFER: a holder that stops asks the next one to take over
 * @BB_TRANSFER_ACCEPT: the next holder agrees and sends a nonce
 * @BB_TRANSFER_PART: records, with the nonce of the ACCEPT
 */
enum bb_transfer_kind {
	BB_TRANSFER_OFFER,
	BB_TRANSFER_ACCEPT,
	BB_TRANSFER_PART,
	BB_TRANSFER_KIND_COUNT
};

/**
 * struct bb_message_record_transfer - one step of a transfer of records.
 * @incarnation: of the sender
 * @kind: the step
 * @nonce: 0 in an offer
 * @group: group of the records
 * @part: number of this part, from 0
 * @covered_ms: all records begun in this time before the transfer are in it
 * @complete: this is the last part
 * @entries: records of this part
 */
struct bb_message_record_transfer {
	uint64_t incarnation;
	enum bb_transfer_kind kind;
	uint64_t nonce;
	uint32_t group;
	uint32_t part;
	uint32_t covered_ms;
	bool complete;
	struct bb_record_entry *entries;
	size_t entries_nr;
};

/**
 * struct bb_message_summary_request - asks a node for the latency and errors of
 * its backend servers of one service.
 * @backend: backend server beside that node, whose service is asked for
 */
struct bb_message_summary_request {
	struct bb_bytes backend;
};

/**
 * struct bb_summary_item - latency and errors of one backend server and route
 * class; the fields are those of struct bb_pool_summary.
 */
struct bb_summary_item {
	struct bb_bytes backend;
	uint32_t class_id;
	uint32_t samples;
	uint32_t error_permille;
	uint32_t median_us;
	uint32_t spread_us;
	uint32_t recent_age_ms;
};

/**
 * struct bb_message_summary - answer to a summary request.
 * @items: one for each backend server and route class
 */
struct bb_message_summary {
	struct bb_summary_item *items;
	size_t items_nr;
};

/**
 * struct bb_message_registry_read - asks a node for changes of the registry.
 * @nonce: copied to the answer
 * @era: era of the registry that the sender knows, -1 if unknown
 * @after: revision whose changes the sender has
 * @wait_ms: time for which the answer may wait for a change
 */
struct bb_message_registry_read {
	uint64_t nonce;
	int64_t era;
	uint64_t after;
	uint32_t wait_ms;
};

/**
 * struct bb_registry_item - an item of the registry.
 * @key: its key
 * @value: its value, empty if @removed
 * @revision: revision of its last change
 * @removed: it was removed
 */
struct bb_registry_item {
	struct bb_bytes key;
	struct bb_bytes value;
	uint64_t revision;
	bool removed;
};

/**
 * enum bb_registry_answer - whether a node can tell the changes.
 * @BB_REGISTRY_CHANGES: it can
 * @BB_REGISTRY_STALE: its evidence of the registry is too old, or it is stopping
 * @BB_REGISTRY_OTHER_ERA: it knows the registry in another era
 * @BB_REGISTRY_BEHIND: it knows less than the node that asks
 * @BB_REGISTRY_HISTORY: it no longer knows all removals after that revision, or
 *                       the changes do not fit in a message
 */
enum bb_registry_answer {
	BB_REGISTRY_CHANGES,
	BB_REGISTRY_STALE,
	BB_REGISTRY_OTHER_ERA,
	BB_REGISTRY_BEHIND,
	BB_REGISTRY_HISTORY,
	BB_REGISTRY_ANSWER_COUNT
};

/* In the order of enum bb_registry_answer. */
extern const char *const bb_registry_answer_string[];

/**
 * struct bb_message_registry_changes - answer to a registry read.
 * @nonce: of the read
 * @answer: whether the fields below hold
 * @era: era of the registry, -1 if unknown
 * @revision: all changes after the revision of the read, up to this one, are in
 *            @items
 * @age_ms: upper bound of the time since the registry was at @revision
 * @items: items that changed, each as it is now
 */
struct bb_message_registry_changes {
	uint64_t nonce;
	enum bb_registry_answer answer;
	int64_t era;
	uint64_t revision;
	uint32_t age_ms;
	struct bb_registry_item *items;
	size_t items_nr;
};

/**
 * struct bb_message - a message of any type.
 * @type: selects the member of the union
 *
 * Bytes and lists are not owned by the struct: in a decoded message they
 * point into the received bytes and into the arena of struct
 * bb_decoded_message.
 */
struct bb_message {
	enum bb_message_type type;
	union {
		struct bb_message_hello hello;
		struct bb_message_welcome welcome;
		struct bb_message_execute execute;
		struct bb_message_result result;
		struct bb_message_cancel cancel;
		struct bb_message_digest_request digest_request;
		struct bb_message_digest digest;
		struct bb_message_page_request page_request;
		struct bb_message_page page;
		struct bb_message_lease_request lease_request;
		struct bb_message_lease_grant lease_grant;
		struct bb_message_lease_release lease_release;
		struct bb_message_draw draw;
		struct bb_message_draw_grant draw_grant;
		struct bb_message_permit_request permit_request;
		struct bb_message_permit_grant permit_grant;
		struct bb_message_record record;
		struct bb_message_record_reply record_reply;
		struct bb_message_record_transfer record_transfer;
		struct bb_message_summary_request summary_request;
		struct bb_message_summary summary;
		struct bb_message_registry_read registry_read;
		struct bb_message_registry_changes registry_changes;
		struct bb_message_backend_reports backend_reports;
		struct bb_message_execute_large execute_large;
		struct bb_message_body_read body_read;
		struct bb_message_body_part body_part;
	};
};

/**
 * bb_wire_encode() - encode a message.
 * @m: the message
 * @size: set to the number of bytes
 * @err: set on failure
 *
 * Fails if a field is over its limit or the message over BB_WIRE_SIZE_MAX.
 *
 * Return: buffer that the caller frees with free(), or NULL.
 */
char *bb_wire_encode(const struct bb_message *m, size_t *size,
		     struct bb_error *err);

/**
 * struct bb_decoded_message - a decoded message and the memory of its lists.
 */
struct bb_decoded_message;

/**
 * bb_wire_decode() - decode and check a message.
 * @data: received bytes; must stay valid until bb_decoded_message_delete()
 * @size: number of bytes
 * @err: set on failure
 *
 * Return: the message, or NULL if any rule is broken. Never reads past @size
 * and allocates at most a small multiple of @size.
 */
struct bb_decoded_message *bb_wire_decode(const char *data, size_t size,
					  struct bb_error *err);

/**
 * bb_decoded_message_get() - message within a decoded message.
 * @d: decoded message
 *
 * Return: message that lives as long as @d.
 */
const struct bb_message *
bb_decoded_message_get(const struct bb_decoded_message *d);

/**
 * bb_decoded_message_delete() - free a decoded message.
 * @d: decoded message, may be NULL
 */
void bb_decoded_message_delete(struct bb_decoded_message *d);

/**
 * bb_send_fn() - callback that passes a message to the transport.
 * @data: of the options that carry the callback
 * @host: index of the receiving host in the configuration's host list
 * @m: message, valid during the call only
 *
 * The message may be lost, delayed or delivered more than once without notice.
 */
typedef void bb_send_fn(void *data, uint32_t host, const struct bb_message *m);

#ifdef __cplusplus
}
#endif
#endif
