/* Record store of idempotency keys: shared by its two source files. */
#ifndef BAOBABWARD_IDEMPOTENCY_INTERNAL_H
#define BAOBABWARD_IDEMPOTENCY_INTERNAL_H

#include "baobabward/idempotency.h"

/**
 * enum record_kind - what is stored of a key.
 * @RECORD_RUNNING: an attempt is in progress until its deadline
 * @RECORD_DONE: outcome known
 * @RECORD_UNCERTAIN: may have run
 * @RECORD_NOT_RUN: the last attempt certainly did not run; the key is free
 */
enum record_kind {
	RECORD_RUNNING,
	RECORD_DONE,
	RECORD_UNCERTAIN,
	RECORD_NOT_RUN,
};

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

/* Transfer of a group's records to the next holder. */
enum outgoing { OUT_NONE, OUT_OFFERED, OUT_SENT };

/**
 * struct incoming - transfer of a group's records from its last holder.
 * @nonce: that this node answered the offer with
 * @asked_us: when the nonce was made
 * @incarnation: of the sender
 * @parts: set of the numbers of parts received
 * @last_part: number of the last part, UINT32_MAX while unknown
 * @covered_us: what the sender had covered
 */
struct incoming {
	uint64_t nonce;
	int64_t asked_us;
	uint64_t incarnation;
	GHashTable *parts;
	uint32_t last_part;
	int64_t covered_us;
};

/**
 * struct group - state of one group.
 * @held: this node held the majority at the last check
 * @checked: it did so once, last at @checked_us
 * @held_since_us: since when without a gap
 * @covered_since_us: all records begun since then are in the store
 */
struct group {
	bool held;
	bool checked;
	int64_t held_since_us;
	int64_t covered_since_us;
	int64_t checked_us;
	enum outgoing out;
	uint32_t out_host;
	int64_t out_sent_us;
	struct incoming *in;
};

struct bb_records {
	struct bb_records_options o;
	struct group *groups;
	GHashTable *records;
	GHashTable *account_counts;
	GQueue order;
	size_t body_bytes;
	uint64_t limit_refusals;
};

/* Own clocks and those of other nodes differ by at most this share. */
#define DRIFT_PERCENT 1

/* Whether this node answers for the group now; notes gaps. */
bool bb_records_check(struct bb_records *r, uint32_t group, int64_t now_us);

/* Whether an unknown key was certainly not used inside the window. */
bool bb_records_covered(const struct bb_records *r, uint32_t group,
			int64_t now_us);

/* Record of a key inside the window, or NULL. */
struct record *bb_records_find(struct bb_records *r, const uint8_t *key_hash,
			       int64_t now_us);

/* Adds a record; @limited applies the limits, then NULL if one is reached. */
struct record *bb_records_add(struct bb_records *r, const uint8_t *key_hash,
			      uint64_t account_hash, bool limited);

/* Stores an outcome, without its response if that is too large. */
void bb_records_store(struct bb_records *r, struct record *rec,
		      const struct bb_outcome *outcome);

/* What the stored record means at @now_us. */
enum bb_record_state bb_record_state(const struct record *rec, int64_t now_us);

/* Stored outcome; points into the record. */
struct bb_outcome bb_record_outcome(const struct record *rec);

/* Counts a group that is held as covered by a complete transfer. */
void bb_records_take_coverage(struct bb_records *r, uint32_t group);

void bb_records_transfer_tick(struct bb_records *r, uint32_t group,
			      int64_t now_us);
void bb_records_transfer_receive(struct bb_records *r, uint32_t host,
				 const struct bb_message_record_transfer *m,
				 int64_t now_us);
void bb_records_incoming_delete(struct incoming *in);

#endif
