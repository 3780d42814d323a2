/* State of a membership, shared by member*.c. */
#ifndef BB_MEMBER_PRIVATE_H
#define BB_MEMBER_PRIVATE_H

#include "baobabward/member.h"

/* No evidence yet. Far from the limits so that differences do not overflow. */
#define BB_MEMBER_NEVER (INT64_MIN / 4)
/*
 * Evidence must be this much newer than the announcement of a stop to count as
 * a new process: bounds of different origin can be out of order.
 */
#define BB_MEMBER_STOP_MARGIN_US INT64_C(1000000)
/* Former seat lists whose mapping is kept. */
#define BB_MEMBER_FORMER_MAX 4
/* Requests whose answers are still accepted. */
#define BB_MEMBER_PENDING 32

/**
 * struct bb_seat - evidence of one seat.
 * @ran_us: the seat was running at this time or later
 * @version: version that it had accepted by then
 * @serving_us: like @ran_us, with a version in force
 * @starting_us: latest time at which it is known to have been starting, without
 *               a memory of what it had accepted before
 * @stopping_us: latest time at which it is known to have announced a planned
 *               stop
 * @missed_us: latest time at which it was dropped as a silent neighbour
 */
struct bb_seat {
	int64_t ran_us;
	uint64_t version;
	int64_t serving_us;
	int64_t starting_us;
	int64_t stopping_us;
	int64_t missed_us;
};

/**
 * struct bb_former_seats - an earlier seat list.
 * @hash: its seats hash
 * @map: present seat of each seat, or BB_NO_ROW
 * @nr: number of seats
 */
struct bb_former_seats {
	uint64_t hash;
	uint32_t *map;
	size_t nr;
};

/**
 * struct bb_neighbour - a peer that is asked in turn.
 * @host: its seat
 * @misses: requests since its last answer
 */
struct bb_neighbour {
	uint32_t host;
	uint32_t misses;
};

/**
 * struct bb_pending - a request that was sent.
 * @nonce: of the request, 0 for an unused place
 */
struct bb_pending {
	uint64_t nonce;
	uint32_t host;
	int64_t sent_us;
};

/**
 * struct bb_digest_buffer - memory of an outgoing digest.
 * @units: age of each seat in the unit of digests, UINT16_MAX if not included
 * @seats: bitmaps of all bands
 * @stopping: bitmaps of all bands
 * @ages: ages of all bands
 */
struct bb_digest_buffer {
	uint16_t *units;
	char *seats;
	char *stopping;
	char *ages;
	struct bb_digest_band bands[BB_DIGEST_BANDS_MAX];
};

/**
 * struct bb_member - see member.h.
 * @self: own seat, or BB_NO_ROW when not in the seat list
 * @quorum_until_us: end of the quorum without new evidence
 * @quorum_valid: @quorum_until_us is up to date
 * @read_until_us: end of the freshness of the last read of the service
 * @highest: newest version known
 * @outdated_until_us: time up to which the node may serve while a newer version
 *                     than its own is known
 * @reported: version that was last reported, at @reported_us
 * @hurry: quick requests left while there is no quorum
 * @in_force: the configuration is in force, see member_start.c
 * @start_us: time of the first tick
 * @candidate: highest version that starting seats are said to have read
 */
struct bb_member {
	struct bb_member_options o;
	char *name;
	uint32_t self;
	struct bb_seat *seats;
	size_t seats_nr;
	struct bb_former_seats former[BB_MEMBER_FORMER_MAX];
	struct bb_neighbour *neighbours;
	size_t neighbours_nr;
	size_t turn;
	struct bb_pending pending[BB_MEMBER_PENDING];
	size_t pending_next;
	struct bb_digest_buffer buffer;
	struct bb_message reply;
	int64_t *scratch;
	int64_t next_us;
	int64_t rotate_us;
	int64_t quorum_until_us;
	bool quorum_valid;
	int64_t read_until_us;
	uint64_t highest;
	int64_t outdated_until_us;
	uint64_t reported;
	int64_t reported_us;
	uint32_t hurry;
	bool stopping;
	bool in_force;
	int64_t start_us;
	uint64_t candidate;
};

/**
 * bb_member_build_digest() - fill in the reply to a request.
 * @m: membership
 * @nonce: of the request, 0 for a notice
 * @entries: largest number of seats
 * @now_us: current time
 */
void bb_member_build_digest(struct bb_member *m, uint64_t nonce, size_t entries,
			    int64_t now_us);

/**
 * bb_member_absorb() - take the evidence of an answer.
 * @m: membership
 * @host: seat that answered
 * @d: the answer
 * @sent_us: time at which the request was sent
 * @now_us: current time
 */
void bb_member_absorb(struct bb_member *m, uint32_t host,
		      const struct bb_message_digest *d, int64_t sent_us,
		      int64_t now_us);

/**
 * bb_member_saw_version() - note a version that a seat accepted.
 * @m: membership
 * @host: the seat, or BB_NO_ROW
 * @version: its version
 * @now_us: current time
 */
void bb_member_saw_version(struct bb_member *m, uint32_t host, uint64_t version,
			   int64_t now_us);

/**
 * bb_member_raise_highest() - note that a version exists.
 * @m: membership
 * @version: the version
 * @now_us: current time
 *
 * Before evidence of seats that accepted it is taken: they are no evidence that
 * the own version is the newest.
 */
void bb_member_raise_highest(struct bb_member *m, uint64_t version,
			     int64_t now_us);

/**
 * bb_member_ask_for() - report a newer version to the caller.
 * @m: membership
 * @host: seat that has it
 * @version: the version
 * @now_us: current time
 */
void bb_member_ask_for(struct bb_member *m, uint32_t host, uint64_t version,
		       int64_t now_us);

/**
 * bb_member_is_starting() - a seat has no version in force.
 * @s: the seat
 *
 * Return: true if its newest evidence says so.
 */
static inline bool bb_member_is_starting(const struct bb_seat *s)
{
	return s->starting_us > s->serving_us;
}

/**
 * bb_member_saw_candidate() - note what a starting peer knows to have been read.
 * @m: membership
 * @host: the peer
 * @version: version that it or another starting seat has read
 * @now_us: current time
 */
void bb_member_saw_candidate(struct bb_member *m, uint32_t host,
			     uint64_t version, int64_t now_us);

/**
 * bb_member_check_start() - put the configuration in force if that is safe.
 * @m: membership
 * @now_us: current time
 */
void bb_member_check_start(struct bb_member *m, int64_t now_us);

/**
 * bb_member_fill_neighbours() - choose the neighbours that are missing.
 * @m: membership
 * @now_us: current time
 */
void bb_member_fill_neighbours(struct bb_member *m, int64_t now_us);

/**
 * bb_member_next_neighbour() - peer to ask now; replaces silent neighbours.
 * @m: membership
 * @now_us: current time
 *
 * Return: neighbour, or NULL if there is no other seat.
 */
struct bb_neighbour *bb_member_next_neighbour(struct bb_member *m,
					      int64_t now_us);

/**
 * bb_member_seats_init() - allocate the tables for a seat list.
 * @m: membership
 * @config: with the new seat list
 */
void bb_member_seats_init(struct bb_member *m, const struct bb_config *config);

/**
 * bb_member_seats_finish() - free the tables.
 * @m: membership
 */
void bb_member_seats_finish(struct bb_member *m);

/**
 * bb_member_seats_move() - move evidence to another seat list.
 * @m: membership with the old configuration in its options
 * @config: with the new seat list
 */
void bb_member_seats_move(struct bb_member *m, const struct bb_config *config);

#endif
