/*
 * Records of idempotency keys, kept in memory by the holder of the lease group
 * (lease.h) into which a key hashes.
 *
 * Invariant: no key is answered "new" to two attempts within the window, unless
 * the first reported that it certainly did not run.
 *
 * A node answers for a group while it holds leases from more than half of the
 * committee's seats; two nodes never do so at the same time. The group is
 * covered if the node has held that majority without a gap for a whole window,
 * or received all records from a holder that had. Only then does it answer
 * "new" for a key without a record: otherwise an earlier holder may have
 * recorded the key, and the answer is "may have run".
 *
 * No record is dropped inside the window. When a limit on the number of records
 * is reached, new keys are answered "unavailable".
 *
 * Not thread safe; no I/O apart from the send callback; all times are
 * microseconds of the caller's clock.
 */
#ifndef BAOBABWARD_IDEMPOTENCY_H
#define BAOBABWARD_IDEMPOTENCY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_records - record store of one node.
 */
struct bb_records;

/* Stored status of a request that ran but whose response was too large to
 * keep. */
#define BB_RECORD_STATUS_NOT_KEPT 0

/**
 * struct bb_records_options - options of a record store; 0 selects defaults.
 * @incarnation: incarnation of this node
 * @groups: number of groups (512)
 * @seats: size of the committee of a group
 * @window_us: time for which the record of a key is kept (window)
 * @seats_held: seats of @group whose leases this node holds at @now_us
 * @seats_held_since: number of them that it has held without a gap since
 *                    @since_us; NULL if this is not known
 * @data: passed to @seats_held and @seats_held_since
 * @check_gap_max_us: without @seats_held_since, a longer time between two
 *                    checks counts as a gap (1 s); bb_records_tick() must run
 *                    more often
 * @send: sends replies and transfers
 * @send_data: passed to @send
 * @rand: random number generator for nonces, not owned
 * @records_max: most records in total (65536)
 * @account_records_max: most records of one account (16384)
 * @body_max: longest stored response body in bytes (65536)
 * @body_bytes_max: most bytes of stored bodies in total (16 MiB)
 */
struct bb_records_options {
	uint64_t incarnation;
	uint32_t groups;
	uint32_t seats;
	int64_t window_us;
	uint32_t (*seats_held)(void *data, uint32_t group, int64_t now_us);
	uint32_t (*seats_held_since)(void *data, uint32_t group,
				     int64_t since_us, int64_t now_us);
	void *data;
	int64_t check_gap_max_us;
	bb_send_fn *send;
	void *send_data;
	GRand *rand;
	uint32_t records_max;
	uint32_t account_records_max;
	uint32_t body_max;
	size_t body_bytes_max;
};

/**
 * struct bb_records_stats - counters of a store.
 * @records: stored records
 * @body_bytes: bytes of stored bodies
 * @groups_held: groups this node answers for
 * @groups_uncovered: those of them that are not covered, so that keys without a
 *                    record are answered "may have run"
 * @limit_refusals: new keys answered "unavailable" because of a limit
 */
struct bb_records_stats {
	size_t records;
	size_t body_bytes;
	uint32_t groups_held;
	uint32_t groups_uncovered;
	uint64_t limit_refusals;
};

/**
 * bb_records_new() - create an empty store.
 * @o: options; copied
 *
 * Return: store that the caller deletes.
 */
struct bb_records *bb_records_new(const struct bb_records_options *o);

/**
 * bb_records_delete() - free a store.
 * @r: store, may be NULL
 */
void bb_records_delete(struct bb_records *r);

/**
 * bb_records_configure() - apply a new configuration.
 * @r: store
 * @seats: size of the committee of a group
 * @window_us: time for which the record of a key is kept; a longer window
 *             applies to keys that are used from now on
 * @now_us: current time
 */
void bb_records_configure(struct bb_records *r, uint32_t seats,
			  int64_t window_us, int64_t now_us);

/**
 * bb_records_tick() - check which groups are held, drop expired records and
 * repeat offers of a transfer.
 * @r: store
 * @now_us: current time
 */
void bb_records_tick(struct bb_records *r, int64_t now_us);

/**
 * bb_records_handle() - answer one RECORD message.
 * @r: store
 * @m: the request
 * @reply: filled in; its bytes are valid until the next call for @r
 * @now_us: current time, read after the message was received
 *
 * The same attempt may repeat its request if the answer was lost. The requester
 * must not act on an answer after the time that it sent as timeout_ms.
 */
void bb_records_handle(struct bb_records *r, const struct bb_message_record *m,
		       struct bb_message_record_reply *reply, int64_t now_us);

/**
 * bb_records_receive() - process RECORD and RECORD_TRANSFER messages.
 * @r: store
 * @host: sender
 * @m: message; other types are ignored
 * @now_us: current time
 */
void bb_records_receive(struct bb_records *r, uint32_t host,
			const struct bb_message *m, int64_t now_us);

/**
 * bb_records_hand_over() - transfer a group to the next holder on a planned
 * stop.
 * @r: store
 * @group: group that this node answers for
 * @host: next holder
 * @now_us: current time
 *
 * Once its records have been sent, this node does not answer for the group any
 * more, even if it does not stop after all. The leases must be released only
 * after bb_records_handovers_pending() has returned 0. If waiting takes too
 * long they may be released earlier; the next holder then answers "may have
 * run" for keys without a record.
 */
void bb_records_hand_over(struct bb_records *r, uint32_t group, uint32_t host,
			  int64_t now_us);

/**
 * bb_records_handovers_pending() - number of groups whose hand-over is pending.
 * @r: store
 *
 * Return: groups that were offered and whose records were not sent yet.
 */
uint32_t bb_records_handovers_pending(const struct bb_records *r);

/**
 * bb_records_stats() - read the counters for metrics and status.
 * @r: store
 * @now_us: current time
 *
 * Return: counters.
 */
struct bb_records_stats bb_records_stats(struct bb_records *r, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
