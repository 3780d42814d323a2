/*
 * Inner protocol between the nodes of a fleet: typed messages and their
 * MessagePack encoding.
 *
 * A message is an array [BB_WIRE_VERSION, type, fields...]. Messages of
 * another protocol version, with missing or extra fields, with values out of
 * range or with strings and lists over the limits below are refused as a
 * whole.
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
/* Largest body that the inner protocol carries, in bytes. */
#define BB_BODY_MAX (16u << 20)
/* Largest number of entries of a list in a control message. */
#define BB_LIST_MAX 4096
/* Longest request target, header name and header value, in bytes. */
#define BB_TARGET_MAX 8192
#define BB_HEADER_NAME_MAX 256
#define BB_HEADER_VALUE_MAX 16384
/* Longest page of the configuration, in bytes. */
#define BB_PAGE_MAX (1u << 20)
/* Largest encoded message, in bytes: a body and 1 MiB for all else. */
#define BB_WIRE_SIZE_MAX (BB_BODY_MAX + (1u << 20))
/* Unit of an age in a digest, and the largest age that a digest can carry. */
#define BB_DIGEST_AGE_MS 50
#define BB_DIGEST_AGE_MAX_MS (255 * BB_DIGEST_AGE_MS)
/* Largest number of configuration versions in one digest. */
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
	BB_MESSAGE_TYPE_COUNT
};

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
 * @in_flight: requests running
 * @queued: requests waiting for a slot
 * @slots: requests that it may run at once
 * @avoid_for_us: ejected, leaving or backing off for this time, 0 if open
 */
struct bb_load {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t slots;
	int64_t avoid_for_us;
};

struct bb_message_hello {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
};

/* @receiver_clock_us: the receiver's clock when it answered; @nonce: of HELLO. */
struct bb_message_welcome {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	int64_t receiver_clock_us;
};

/*
 * @not_after_us: latest start of execution, in the receiver's clock; @last_resort:
 * the entry node has no other backend server left, see breaker.h; @may_wait: without
 * a free slot it is queued, otherwise refused at once
 */
struct bb_message_execute {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	int64_t not_after_us;
	uint64_t config_version;
	bool idempotent;
	bool last_resort;
	bool may_wait;
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

struct bb_message_result {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	enum bb_verdict verdict;
	enum bb_reason reason;
	uint32_t status;
	struct bb_load load;
	struct bb_header *headers;
	size_t headers_nr;
	struct bb_bytes body;
};

/* @not_after_us: of the EXECUTE; until then the receiver knows the id. */
struct bb_message_cancel {
	struct bb_request_id id;
	uint64_t receiver_incarnation;
	int64_t not_after_us;
};

/* @max_entries: largest number of seats wanted in the answer. */
struct bb_message_digest_request {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	uint32_t max_entries;
};

/**
 * struct bb_digest_section - liveness evidence of seats with one version.
 * @config_version: version that these seats had accepted at that time, 0 for
 *                  seats that were starting and had accepted none
 * @first_seat: seat of the first bit of @seats, a multiple of 8
 * @seats: bitmap, least significant bit first: the seats with evidence
 * @ages: one byte for each set bit of @seats, in order: upper bound of the
 *        time since the seat asserted @config_version, in units of
 *        BB_DIGEST_AGE_MS, rounded up
 * @stopping: bitmap with the same start, not longer than @seats and a subset
 *            of it: seats that announced a planned stop
 *
 * A seat is an index into the host list that the digest's @seats_hash
 * identifies. 580 seats with one section take about 1.2 bytes a seat.
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
 * @config_version: accepted by the sender, 0 while it is starting
 * @candidate_version: highest version that a starting sender, or a starting
 *                     seat that it heard of, has read; 0 once it has one in
 *                     force
 * @seats_hash: hash of the sender's seat list, see struct bb_config
 * @stopping: the sender is about to stop
 * @sections: evidence, the sender's own excluded: the answer itself is evidence
 *         of the sender with @config_version
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

struct bb_message_page_request {
	uint64_t config_version;
	struct bb_bytes name;
};

struct bb_message_page {
	uint64_t config_version;
	struct bb_bytes name;
	struct bb_bytes content;
	struct bb_bytes signature;
};

/* One request renews or takes several groups from the same lender. */
struct bb_message_lease_request {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	uint32_t *groups;
	size_t groups_nr;
};

/**
 * struct bb_lease_grant - answer for one group.
 * @group: the group
 * @term_ms: length of the lease, 0 when refused
 * @seats: the lease is 1/@seats of the group, 1 to 15
 * @continuous: no other borrower or incarnation held it since the last grant
 *              to this borrower
 */
struct bb_lease_grant {
	uint32_t group;
	uint32_t term_ms;
	uint32_t seats;
	bool continuous;
};

struct bb_message_lease_grant {
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t nonce;
	struct bb_lease_grant *grants;
	size_t grants_nr;
};

/* @nonce: from the counter of the requests; orders it among them. */
struct bb_message_lease_release {
	uint64_t incarnation;
	uint64_t nonce;
	uint32_t *groups;
	size_t groups_nr;
};

/**
 * struct bb_draw - one account of a draw; amounts in micro-tokens.
 * @account: name of the client account
 * @wanted: tokens asked for
 * @held: all tokens of this holder that the sender still has
 * @returned: unspent tokens given back, not part of @held
 * @valid_ms: longest validity that the sender has use for
 *
 * @held is an absolute figure: a lost message is made good by the next one. Of
 * tokens that fall (see struct bb_draw_grant) it starts a new line from @held
 * now to 0 at the same end, at the sender and at the holder.
 */
struct bb_draw {
	struct bb_bytes account;
	uint32_t wanted;
	uint32_t held;
	uint32_t returned;
	uint32_t valid_ms;
};

struct bb_message_draw {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_draw *draws;
	size_t draws_nr;
};

/* Above the longest time to retry; see struct bb_draw_grant. */
#define BB_DRAW_RETRY_NEW_SHARE_BASE UINT32_C(0x10000)

/**
 * struct bb_draw_grant - answer for one account, in the order of the draw.
 * @granted: micro-tokens granted
 * @valid_ms: how long these and the held ones may be spent, counted from
 *            before the request; 0 leaves the held ones as they are; above
 *            BB_DRAW_VALID_SHORT_US the sender gives them up along a line, from
 *            @granted and the held ones at the request to 0 at the end
 * @retry_ms: when the next token is expected; 1 if all tokens are drawn, so
 *            that some may come back at any time; 0 if enough were granted;
 *            from BB_DRAW_RETRY_NEW_SHARE_BASE on the bucket is short only because the
 *            share of the account is new, and the rest of this number is how
 *            many tokens come in the time that a request waits
 *
 * All three are 0 when the sender holds no lease of the account's group.
 */
struct bb_draw_grant {
	uint32_t granted;
	uint32_t valid_ms;
	uint32_t retry_ms;
};

struct bb_message_draw_grant {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_draw_grant *grants;
	size_t grants_nr;
};

struct bb_message_permit_request {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_bytes service;
	struct bb_bytes backend;
	bool release;
};

/* @term_ms: 0 when refused. */
struct bb_message_permit_grant {
	uint64_t incarnation;
	uint64_t nonce;
	struct bb_bytes service;
	struct bb_bytes backend;
	uint32_t term_ms;
};

/**
 * enum bb_record_state - what is known of an idempotency key.
 * @BB_RECORD_NEW: first use, now in progress for the asker
 * @BB_RECORD_IN_PROGRESS: another attempt is running
 * @BB_RECORD_DONE: finished, outcome follows
 * @BB_RECORD_MAY_HAVE_RUN: it may have run, or the record was lost
 * @BB_RECORD_MISMATCH: the key was used with another request
 * @BB_RECORD_UNAVAILABLE: this node does not hold the group; nothing recorded
 * @BB_RECORD_ABSENT: lookup only, the key was certainly not used
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
 * enum bb_record_action - what the asker wants.
 * @BB_RECORD_BEGIN: record first use, or learn the state
 * @BB_RECORD_FINISH: store the outcome, or with verdict not-run forget the key
 * @BB_RECORD_LOOKUP: learn the state and change nothing
 */
enum bb_record_action {
	BB_RECORD_BEGIN,
	BB_RECORD_FINISH,
	BB_RECORD_LOOKUP,
	BB_RECORD_ACTION_COUNT
};

/**
 * struct bb_outcome - stored outcome of a request with an idempotency key.
 */
struct bb_outcome {
	enum bb_verdict verdict;
	uint32_t status;
	struct bb_bytes content_type;
	struct bb_bytes body;
};

/**
 * struct bb_message_record - request to the holder of a key's group.
 * @nonce: copied to the reply
 * @id: attempt that asks; BEGIN repeated by the same attempt is harmless
 * @account_hash: hash of the account's name, for the limit per account
 * @timeout_ms: for BB_RECORD_BEGIN: time until the attempt has ended at the
 *              latest, 0 if unknown
 * @key_hash: hash of account, route and key (32 bytes)
 * @fingerprint: hash of method, target and body
 * @outcome: for BB_RECORD_FINISH
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

struct bb_message_record_reply {
	uint64_t nonce;
	struct bb_request_id id;
	enum bb_record_state state;
	struct bb_outcome outcome;
};

/**
 * struct bb_record_entry - one record handed to the next holder.
 * @id: attempt that used the key
 * @age_ms: time since first use
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
 * @BB_TRANSFER_OFFER: the holder that stops asks the next one to take over
 * @BB_TRANSFER_ACCEPT: answer with a nonce of the next holder
 * @BB_TRANSFER_PART: records, with the nonce of the answer
 */
enum bb_transfer_kind {
	BB_TRANSFER_OFFER,
	BB_TRANSFER_ACCEPT,
	BB_TRANSFER_PART,
	BB_TRANSFER_KIND_COUNT
};

/**
 * struct bb_message_record_transfer - one step of a transfer.
 * @nonce: 0 in an offer
 * @part: number of this part, from 0
 * @covered_ms: all records begun in this time before the transfer are in it
 * @complete: this is the last part
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

/* Asks the adjacent node of @backend for its part of the service. */
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

struct bb_message_summary {
	struct bb_summary_item *items;
	size_t items_nr;
};

/**
 * struct bb_message - a message of any type.
 * @type: selects the member of the union
 *
 * Bytes and lists are not owned by the struct: in a decoded message they
 * point into the buffer and into the arena of struct bb_decoded_message.
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
	};
};

/**
 * bb_wire_encode() - encode a message.
 * @m: the message
 * @size: set to the number of bytes
 * @err: set on failure
 *
 * Return: buffer that the caller frees with free(), or NULL.
 */
char *bb_wire_encode(const struct bb_message *m, size_t *size,
		     struct bb_error *err);

/**
 * struct bb_decoded_message - a decoded message and the memory behind it.
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
 * bb_decoded_message_get() - the message itself.
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
 * bb_send_fn() - hands a message to the transport.
 * @data: of the options that carry the callback
 * @host: index of the receiving host in the configuration's host list
 * @m: message, valid during the call only
 *
 * Delivery may fail, be late or be repeated without notice.
 */
typedef void bb_send_fn(void *data, uint32_t host, const struct bb_message *m);

#ifdef __cplusplus
}
#endif
#endif
