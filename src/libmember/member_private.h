/* Internal state of a membership, shared by the member*.c files. */
#ifndef BB_MEMBER_PRIVATE_H
#define BB_MEMBER_PRIVATE_H

#include "baobabward/member.h"

/*
 * Time that stands for no evidence. Far from the limits of the type, so that
 * differences do not overflow.
 */
#define BB_MEMBER_NEVER_US (INT64_MIN / 4)
/*
 * Evidence must be this much newer than the announcement of a stop to count as
 * evidence of a new process: time bounds that come from different peers can be
 * out of order.
 */
#define BB_MEMBER_STOP_MARGIN_US INT64_C(1000000)
/* Number of former seat lists whose mapping is kept. */
#define BB_MEMBER_FORMER_MAX 4
/* Number of the latest requests whose answers are accepted. */
#define BB_MEMBER_PENDING_MAX 32

/**
 * struct bb_seat - evidence of one seat; times are on the clock of this node.
 * @last_ran_us: the seat was running at this time or later
 * @version: version that it had accepted by then
 * @last_serving_us: like @last_ran_us, with a version in force
 * @last_starting_us: latest time at which it is known to have been starting,
 *                    without knowledge of what it had accepted before
 * @last_stopping_us: latest time at which it is known to have announced a
 *                    planned stop
 * @last_dropped_us: latest time at which it was dropped as a neighbour that
 *                   does not answer
 */
struct bb_seat {
	int64_t last_ran_us;
	uint64_t version;
	int64_t last_serving_us;
	int64_t last_starting_us;
	int64_t last_stopping_us;
	int64_t last_dropped_us;
};

/**
 * struct bb_former_seats - an earlier seat list.
 * @hash: its seats hash
 * @map: index in the present list of each seat, or BB_NO_ROW
 * @nr: number of seats in the earlier list
 */
struct bb_former_seats {
	uint64_t hash;
	uint32_t *map;
	size_t nr;
};

/**
 * struct bb_neighbour - a peer that is polled for its digest.
 * @host: its seat
 * @misses: requests sent since its last answer
 */
struct bb_neighbour {
	uint32_t host;
	uint32_t misses;
};

/**
 * struct bb_pending - a digest request that waits for its answer.
 * @nonce: nonce of the request, 0 for an unused slot
 * @host: seat that it was sent to
 * @sent_us: time at which it was sent
 */
struct bb_pending {
	uint64_t nonce;
	uint32_t host;
	int64_t sent_us;
};

/**
 * struct bb_digest_buffer - memory of an outgoing digest. A section is the part
 * of a digest with the seats that have the same configuration version.
 * @age_units: age of each seat in units of BB_DIGEST_AGE_MS, UINT16_MAX if the
 *             seat is not included
 * @seats: for each section, bitmap of its seats
 * @stopping: for each section, bitmap of its seats that announced a stop
 * @ages: ages of all sections, one byte for each seat in a section
 * @sections: refer to the memory above
 */
struct bb_digest_buffer {
	uint16_t *age_units;
	char *seats;
	char *stopping;
	char *ages;
	struct bb_digest_section sections[BB_DIGEST_SECTIONS_MAX];
};

/**
 * struct bb_member - see member.h.
 * @o: options, with defaults filled in
 * @self: own seat, or BB_NO_ROW when not in the seat list
 * @former: earlier seat lists, the latest first
 * @neighbour_index: index of the neighbour that was polled last
 * @pending_next: index in @pending of the next request, a ring buffer
 * @reply: message that bb_member_build_digest() filled in
 * @sorted_us: work space to sort the evidence of all seats
 * @next_request_us: time of the next digest request
 * @next_rotation_us: time at which the next neighbour is replaced
 * @quorum_until_us: time until which there is a quorum without new evidence
 * @quorum_valid: @quorum_until_us is up to date
 * @read_until_us: time until which the last read of the configuration service
 *                 is fresh
 * @highest_version: newest version known to exist
 * @outdated_until_us: time until which the node stays current while a newer
 *                     version than its own is known
 * @reported_version: version that the caller was last told of, at @reported_us
 * @fast_requests_left: requests that may still be sent at the fast rate while
 *                      evidence of a quorum is low
 * @stopping: this node announced a planned stop
 * @in_force: the configuration is in force, see member_start.c
 * @start_us: time of the first tick
 * @candidate_version: highest version that starting seats are said to have read
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
	size_t neighbour_index;
	struct bb_pending pending[BB_MEMBER_PENDING_MAX];
	size_t pending_next;
	struct bb_digest_buffer buffer;
	struct bb_message reply;
	int64_t *sorted_us;
	int64_t next_request_us;
	int64_t next_rotation_us;
	int64_t quorum_until_us;
	bool quorum_valid;
	int64_t read_until_us;
	uint64_t highest_version;
	int64_t outdated_until_us;
	uint64_t reported_version;
	int64_t reported_us;
	uint32_t fast_requests_left;
	bool stopping;
	bool in_force;
	int64_t start_us;
	uint64_t candidate_version;
};

/**
 * bb_member_build_digest() - fill in the reply to a request.
 * @m: membership
 * @nonce: nonce of the request, 0 for a notice without a request
 * @entries: largest number of seats
 * @now_us: current time
 */
void bb_member_build_digest(struct bb_member *m, uint64_t nonce, size_t entries,
			    int64_t now_us);

/**
 * bb_member_merge_digest() - merge the evidence of an answer.
 * @m: membership
 * @host: seat that answered
 * @d: the answer
 * @sent_us: time at which the request was sent
 * @now_us: current time
 */
void bb_member_merge_digest(struct bb_member *m, uint32_t host,
			    const struct bb_message_digest *d, int64_t sent_us,
			    int64_t now_us);

/**
 * bb_member_note_version() - record a version that a seat accepted.
 * @m: membership
 * @host: the seat, or BB_NO_ROW
 * @version: its version
 * @now_us: current time
 */
void bb_member_note_version(struct bb_member *m, uint32_t host,
			    uint64_t version, int64_t now_us);

/**
 * bb_member_raise_highest_version() - record that a version exists.
 * @m: membership
 * @version: the version
 * @now_us: current time
 *
 * Must be called before the evidence of seats that accepted @version is merged:
 * these seats are no evidence that the own version is the newest.
 */
void bb_member_raise_highest_version(struct bb_member *m, uint64_t version,
				     int64_t now_us);

/**
 * bb_member_report_newer_version() - report a newer version to the caller.
 * @m: membership
 * @host: seat that has it
 * @version: the version
 * @now_us: current time
 */
void bb_member_report_newer_version(struct bb_member *m, uint32_t host,
				    uint64_t version, int64_t now_us);

/**
 * bb_member_is_starting() - whether a seat has no version in force yet.
 * @s: the seat
 *
 * Return: true if its newest evidence says so.
 */
static inline bool bb_member_is_starting(const struct bb_seat *s)
{
	return s->last_starting_us > s->last_serving_us;
}

/**
 * bb_member_note_candidate() - record the candidate that a starting peer
 * reports.
 * @m: membership
 * @host: the peer
 * @version: version that it or another starting seat has read
 * @now_us: current time
 */
void bb_member_note_candidate(struct bb_member *m, uint32_t host,
			      uint64_t version, int64_t now_us);

/**
 * bb_member_check_start() - put the candidate in force if that is safe.
 * @m: membership
 * @now_us: current time
 */
void bb_member_check_start(struct bb_member *m, int64_t now_us);

/**
 * bb_member_fill_neighbours() - choose neighbours up to the wanted number.
 * @m: membership
 * @now_us: current time
 */
void bb_member_fill_neighbours(struct bb_member *m, int64_t now_us);

/**
 * bb_member_next_neighbour() - choose the peer to poll now.
 * @m: membership
 * @now_us: current time
 *
 * Replaces neighbours that do not answer.
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
 * bb_member_seats_remap() - carry evidence over to another seat list.
 * @m: membership with the old configuration in its options
 * @config: with the new seat list
 */
void bb_member_seats_remap(struct bb_member *m, const struct bb_config *config);

#endif
