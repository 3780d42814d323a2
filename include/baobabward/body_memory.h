/*
 * Accounting of the memory that the bodies of a process take: requests that are
 * received from callers, requests of other nodes, copies on the way to other
 * nodes, and responses on the way to callers.
 *
 * Addresses callers that send many large bodies, whole or piece by piece, stop
 * short of their end and stay connected, until the process has no memory left.
 *
 * Each body has a claim with the bytes that it takes. A claim that grows is
 * admitted or refused:
 *
 * - Request bodies together take up to a half of the limit, so that the copies
 *   of those that are complete have room.
 * - Large claims leave an eighth of the limit to small ones, which may take it
 *   even if responses have taken more than the limit.
 * - One account, and one client address, takes up to three quarters of the part
 *   of the request bodies with large bodies, and as much with small ones.
 * - A large request body is admitted in any case while there is no other large one,
 *   of a caller or of another node, so that a single request is served whatever
 *   the limit.
 * - Responses may exceed the limit by a quarter, since their requests have run.
 *   Small ones, and a large one while there is no other, are admitted in any
 *   case.
 *
 * Where a claim does not fit, bodies without progress give way, those that have
 * made none for the longest time first: request bodies that are being received,
 * then responses. None gives way unless the claim fits then.
 *
 * The functions perform no I/O and read no clock. The accounting is shared by the
 * threads of the front, the traffic thread and the control thread, and is locked
 * inside.
 */
#ifndef BAOBABWARD_BODY_MEMORY_H
#define BAOBABWARD_BODY_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Largest claim that counts as small, in bytes: several times an ordinary booking
 * or lookup.
 */
#define BB_BODY_SMALL_BYTES (UINT64_C(16) * 1024)
/*
 * Bytes of progress for which a body counts as moving on. One that is sent more
 * slowly than this in the time of a stall gives way, too.
 */
#define BB_BODY_PROGRESS_BYTES UINT64_C(4096)

/* Largest number of claims reported by one call of bb_body_memory_tick(). */
#define BB_BODY_TICK_MAX 64

/**
 * enum bb_body_stage - where the body of a claim is.
 * @BB_BODY_RECEIVED: request body, received from a caller
 * @BB_BODY_FORWARDED: request of another node at the adjacent node, and the
 *                     messages to other nodes until they are sent
 * @BB_BODY_RESPONSE: response on the way to a caller
 */
enum bb_body_stage {
	BB_BODY_RECEIVED,
	BB_BODY_FORWARDED,
	BB_BODY_RESPONSE,
	BB_BODY_STAGE_COUNT
};

struct bb_body_memory;

/**
 * struct bb_body_claim - memory that one body takes; embedded by its owner.
 * @stage: where the body is
 * @account: hash of the client account, 0 for none
 * @address: hash of the client address, 0 for none
 * @bytes: bytes taken
 * @moved_bytes: bytes received or sent since @moved_us was set
 * @moved_us: when the body last made progress
 * @may_give_way: the body is incomplete, or a response in progress
 * @pinned: its owner is using the memory, which stays until it has unpinned it
 * @gave_way: the memory was taken away
 * @visited_us: when bb_body_memory_tick() last looked at it, 0 for never
 * @prev: neighbour in the list of all claims
 * @next: neighbour in the list of all claims
 * @listed: the claim is in that list
 *
 * All fields belong to the accounting. A claim that is all zero is ended.
 */
struct bb_body_claim {
	enum bb_body_stage stage;
	uint64_t account;
	uint64_t address;
	uint64_t bytes;
	uint64_t moved_bytes;
	int64_t moved_us;
	bool may_give_way;
	bool pinned;
	bool gave_way;
	int64_t visited_us;
	struct bb_body_claim *prev;
	struct bb_body_claim *next;
	bool listed;
};

/**
 * struct bb_body_memory_options - options of an accounting.
 * @limit: bound on all claims in bytes, 0 for none
 * @stall_us: time without progress after which a body may give way
 * @give_way: frees the memory of a claim, which belongs to the calling thread
 *            then; called with the accounting locked, on any thread
 * @has_input: whether bytes of a body wait to be read: then not its caller but
 *             this process makes no progress, and it does not give way; called with
 *             the accounting locked; may be NULL
 * @stalled: called by bb_body_memory_tick() for a claim without progress, with the
 *           accounting locked; may be NULL
 * @data: passed to the callbacks
 */
struct bb_body_memory_options {
	uint64_t limit;
	int64_t stall_us;
	void (*give_way)(void *data, struct bb_body_claim *c);
	bool (*has_input)(void *data, struct bb_body_claim *c);
	void (*stalled)(void *data, struct bb_body_claim *c);
	void *data;
};

/**
 * struct bb_body_memory_use - what the claims take, in bytes.
 * @stages: by stage
 * @small: part of the sum that small claims take
 * @gave_way: number of claims that gave way so far
 */
struct bb_body_memory_use {
	uint64_t stages[BB_BODY_STAGE_COUNT];
	uint64_t small;
	uint64_t gave_way;
};

/**
 * bb_body_memory_new() - create an accounting without claims.
 */
struct bb_body_memory *
bb_body_memory_new(const struct bb_body_memory_options *o);

/**
 * bb_body_memory_delete() - free an accounting; all claims must have ended.
 * @m: accounting, may be NULL
 */
void bb_body_memory_delete(struct bb_body_memory *m);

/**
 * bb_body_default_limit() - limit of a process whose settings name none.
 * @machine_bytes: memory of the machine, or that the process may use, 0 if it is
 *                 not known
 *
 * Return: bytes.
 */
uint64_t bb_body_default_limit(uint64_t machine_bytes);

/**
 * bb_body_claim_begin() - begin a claim of 0 bytes.
 * @m: accounting, NULL for none: then all claims are admitted
 * @c: claim that is all zero, or has ended
 * @stage: where the body is
 * @account: hash of the client account, 0 for none
 * @address: hash of the client address, 0 for none
 * @now_us: current time
 *
 * It is pinned, and does not give way before bb_body_claim_moved().
 */
void bb_body_claim_begin(struct bb_body_memory *m, struct bb_body_claim *c,
			 enum bb_body_stage stage, uint64_t account,
			 uint64_t address, int64_t now_us);

/**
 * bb_body_claim_resize() - ask for as many bytes as the body will take.
 * @m: accounting, may be NULL
 * @c: claim that has begun and is pinned
 * @bytes: new size; a smaller one is always admitted
 * @now_us: current time
 *
 * Others may give way.
 *
 * Return: false if it is refused; the claim keeps its size.
 */
bool bb_body_claim_resize(struct bb_body_memory *m, struct bb_body_claim *c,
			  uint64_t bytes, int64_t now_us);

/**
 * bb_body_claim_force() - count bytes that are taken whatever the limit.
 * @m: accounting, may be NULL
 * @c: claim that has begun and is pinned
 * @bytes: new size
 */
void bb_body_claim_force(struct bb_body_memory *m, struct bb_body_claim *c,
			 uint64_t bytes);

/**
 * bb_body_claim_pin() - use the memory of a claim from now on.
 * @m: accounting, may be NULL
 * @c: claim that has begun
 *
 * Return: false if the claim has given way; its memory was freed.
 */
bool bb_body_claim_pin(struct bb_body_memory *m, struct bb_body_claim *c);

/**
 * bb_body_claim_moved() - record progress; the claim may give way from now on.
 * @m: accounting, may be NULL
 * @c: claim that is pinned
 * @bytes: bytes received or sent
 * @now_us: current time
 */
void bb_body_claim_moved(struct bb_body_memory *m, struct bb_body_claim *c,
			 uint64_t bytes, int64_t now_us);

/**
 * bb_body_claim_end() - the body takes no memory any more.
 * @m: accounting, may be NULL
 * @c: claim; one that has not begun stays as it is
 */
void bb_body_claim_end(struct bb_body_memory *m, struct bb_body_claim *c);

/**
 * bb_body_memory_tick() - report claims without progress.
 * @m: accounting, may be NULL
 * @now_us: current time
 *
 * Each claim that is not pinned and has made no progress for the time of a stall,
 * also one of 0 bytes, is reported once in that time. A call reports at most
 * BB_BODY_TICK_MAX claims, so that other threads do not wait long.
 */
void bb_body_memory_tick(struct bb_body_memory *m, int64_t now_us);

/**
 * bb_body_memory_use() - what the claims take.
 * @m: accounting
 * @use: filled in
 */
void bb_body_memory_use(struct bb_body_memory *m,
			struct bb_body_memory_use *use);

#ifdef __cplusplus
}
#endif
#endif
