/* Internal state of the record store, shared by the idempotency*.c files. */
#ifndef BAOBABWARD_IDEMPOTENCY_INTERNAL_H
#define BAOBABWARD_IDEMPOTENCY_INTERNAL_H

#include "baobabward/idempotency.h"

/**
 * enum record_kind - what is known of the last attempt with a key.
 * @RECORD_RUNNING: an attempt is in progress until its deadline
 * @RECORD_DONE: the attempt ran and its outcome is known
 * @RECORD_UNCERTAIN: the attempt may have run
 * @RECORD_NOT_RUN: the last attempt certainly did not run; a new one may begin
 */
enum record_kind {
	RECORD_RUNNING,
	RECORD_DONE,
	RECORD_UNCERTAIN,
	RECORD_NOT_RUN,
};

/**
 * struct record - record of one key.
 * @key_hash: hash of the key, used as key of the table of records
 * @id: request id of the last attempt
 * @account_hash: hash of the client account
 * @fingerprint: of the request; a different one with the same key is a mismatch
 * @begun_us: start of that attempt; the window is counted from it
 * @deadline_us: time until which the attempt counts as in progress
 * @status: HTTP status of the stored response, or BB_RECORD_STATUS_NOT_KEPT
 * @type_size: bytes of the content type at the start of @bytes
 * @body_size: bytes of the body, which follows it
 * @bytes: stored response, or NULL
 * @link: element of the expiry queue
 */
struct record {
	uint8_t key_hash[32];
	struct bb_request_id id;
	uint64_t account_hash;
	uint64_t fingerprint;
	int64_t begun_us;
	int64_t deadline_us;
	uint32_t group;
	uint32_t status;
	uint32_t type_size;
	uint32_t body_size;
	char *bytes;
	enum record_kind kind;
	GList link;
};

/**
 * enum outgoing - state of the transfer of a group to the next holder.
 * @OUTGOING_NONE: none
 * @OUTGOING_OFFERED: offered, and not accepted yet
 * @OUTGOING_SENT: records sent; this node no longer answers for the group
 */
enum outgoing { OUTGOING_NONE, OUTGOING_OFFERED, OUTGOING_SENT };

/**
 * struct incoming - transfer of a group's records from its last holder.
 * @nonce: nonce with which this node answered the offer
 * @nonce_made_us: time at which the nonce was made
 * @incarnation: incarnation of the sender
 * @parts: set of the numbers of the parts received
 * @last_part: number of the last part, UINT32_MAX while unknown
 * @covered_us: length of the time that the records of the sender cover
 */
struct incoming {
	uint64_t nonce;
	int64_t nonce_made_us;
	uint64_t incarnation;
	GHashTable *parts;
	uint32_t last_part;
	int64_t covered_us;
};

/**
 * struct group - state of one group of keys.
 * @held: this node held the majority at the last check
 * @checked: it held the majority at some check, the last time at @checked_us
 * @held_since_us: time since which it has held the majority without a gap
 * @covered_since_us: all records begun since then are in the store
 * @outgoing_host: next holder, to which the group is transferred
 * @offer_sent_us: time at which the last offer was sent to it
 * @incoming: transfer from the last holder, or NULL
 */
struct group {
	bool held;
	bool checked;
	int64_t held_since_us;
	int64_t covered_since_us;
	int64_t checked_us;
	enum outgoing outgoing;
	uint32_t outgoing_host;
	int64_t offer_sent_us;
	struct incoming *incoming;
};

/**
 * struct bb_records - see idempotency.h.
 * @o: options, with defaults filled in
 * @records: struct record by key hash
 * @account_counts: number of records by account hash
 * @expiry_queue: all records in the order of begun_us, except for those that
 *                came by a transfer
 * @body_bytes: bytes of stored responses
 * @limit_refusals: new keys answered "unavailable" because of a limit
 */
struct bb_records {
	struct bb_records_options o;
	struct group *groups;
	GHashTable *records;
	GHashTable *account_counts;
	GQueue expiry_queue;
	size_t body_bytes;
	uint64_t limit_refusals;
};

/* Largest difference between the rates of two nodes' clocks. */
#define DRIFT_PERCENT 1

/* Whether this node answers for the group now; also records gaps in holding. */
bool bb_records_check_held(struct bb_records *r, uint32_t group,
			   int64_t now_us);

/* Whether a key without a record was certainly not used inside the window. */
bool bb_records_covered(const struct bb_records *r, uint32_t group,
			int64_t now_us);

/* Record of a key inside the window, or NULL. */
struct record *bb_records_find(struct bb_records *r, const uint8_t *key_hash,
			       int64_t now_us);

/*
 * Adds a record. With @enforce_limits, returns NULL if a limit on the number of
 * records is reached.
 */
struct record *bb_records_add(struct bb_records *r, const uint8_t *key_hash,
			      uint64_t account_hash, bool enforce_limits);

/* Stores an outcome, without its response if that is too large. */
void bb_records_store(struct bb_records *r, struct record *rec,
		      const struct bb_outcome *outcome);

/* State to report for a record at @now_us. */
enum bb_record_state bb_record_state(const struct record *rec, int64_t now_us);

/* Stored outcome; its content type and body point into the record. */
struct bb_outcome bb_record_outcome(const struct record *rec);

/* If the group is held, extends its coverage by that of a complete transfer. */
void bb_records_apply_coverage(struct bb_records *r, uint32_t group);

void bb_records_transfer_tick(struct bb_records *r, uint32_t group,
			      int64_t now_us);
void bb_records_transfer_receive(struct bb_records *r, uint32_t host,
				 const struct bb_message_record_transfer *m,
				 int64_t now_us);
void bb_records_incoming_delete(struct incoming *in);

#endif
