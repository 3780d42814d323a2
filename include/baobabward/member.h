/*
 * Membership by pull gossip, and freshness of the configuration.
 *
 * A seat is a host of the accepted configuration. A node keeps, for each
 * seat, a time on its own clock at or after which the seat was certainly
 * running, and a configuration version that the seat had accepted by then.
 * From this evidence it derives whether it hears from a quorum (at least 60%
 * of the seats, rounded up, itself included), whether its configuration is
 * current, and which seats are considered alive.
 *
 * Evidence never claims that a seat ran later than it did, whatever the delays,
 * pauses and restarts. An answer to a request proves that the answering seat
 * ran after the request was sent, so its age, and the ages in the answer, are
 * counted from the time of sending and are upper bounds: an answer that arrives
 * after a pause has the pause added to its ages. A restarted node starts
 * without evidence. Incoming requests prove nothing about their age and are no
 * evidence.
 *
 * Nodes with different configurations may have different seat lists. Seats are
 * identified by host name, and a node keeps the mapping of its latest seat
 * lists to the present one, so that the digests of peers with an older
 * configuration remain usable. From a digest with an unknown seat list only the
 * evidence of its sender is used. A peer with a newer configuration makes this
 * node not current until it has accepted that configuration.
 *
 * A process does not know what its earlier incarnation had accepted. It
 * therefore starts with a candidate configuration, which it does not announce
 * as accepted and which is not used before bb_member_in_force() returns true:
 * see there and docs/decisions/membership.md. Starting seats are not considered
 * alive and do not count towards a quorum, because they do not know which
 * version they had accepted.
 *
 * No I/O and no threads: messages leave through callbacks, and the time comes
 * in as an argument.
 */
#ifndef BAOBABWARD_MEMBER_H
#define BAOBABWARD_MEMBER_H

#include <glib.h>

#include "baobabward/config.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Values used where an option is 0; see docs/measurements/member.md. */
#define BB_MEMBER_DEFAULT_INTERVAL_US INT64_C(500000)
#define BB_MEMBER_DEFAULT_FRESHNESS_US INT64_C(10000000)
#define BB_MEMBER_DEFAULT_NEIGHBOURS 12
#define BB_MEMBER_DEFAULT_DIGEST_ENTRIES 160

/* Smallest share of the seats that forms a quorum. */
#define BB_QUORUM_PERCENT 60

/**
 * bb_newer_version_fn() - a peer has a newer configuration than this node.
 * @data: from struct bb_member_options
 * @host: seat that accepted it, in the present configuration
 * @version: version of that configuration
 *
 * Called at most once a second for the same version. The callback is expected
 * to request the configuration's pages from that seat.
 */
typedef void bb_newer_version_fn(void *data, uint32_t host, uint64_t version);

/**
 * bb_connect_peer_fn() - messages to a peer will follow; connect to it.
 * @data: from struct bb_member_options
 * @host: host index of the peer
 */
typedef void bb_connect_peer_fn(void *data, uint32_t host);

/**
 * struct bb_member_options - options of a membership.
 * @config: candidate for the configuration in force; must stay valid until
 *          bb_member_update() returns or bb_member_delete() is called
 * @name: name of this host
 * @incarnation: incarnation of this process
 * @rand: random number generator, not owned
 * @send: sends a request to a peer
 * @newer_version: see bb_newer_version_fn()
 * @connect_peer: see bb_connect_peer_fn(), may be NULL
 * @data: passed to the callbacks
 * @interval_us: mean time between two digest requests
 * @freshness_us: greatest age at which evidence counts (freshness bound)
 * @config_linearizable: the configuration comes from linearizable reads; it is
 *                       in force at once
 * @neighbours: number of peers that are polled round robin
 * @digest_entries: seats requested in a digest while there is a quorum
 */
struct bb_member_options {
	const struct bb_config *config;
	const char *name;
	uint64_t incarnation;
	GRand *rand;
	bb_send_fn *send;
	bb_newer_version_fn *newer_version;
	bb_connect_peer_fn *connect_peer;
	void *data;
	int64_t interval_us;
	int64_t freshness_us;
	bool config_linearizable;
	uint32_t neighbours;
	uint32_t digest_entries;
};

/**
 * struct bb_member - membership of one node, used by one thread.
 */
struct bb_member;

/**
 * bb_member_new() - create a membership without evidence.
 * @o: options, copied
 * @err: set on failure
 *
 * Return: membership, or NULL.
 */
struct bb_member *bb_member_new(const struct bb_member_options *o,
				struct bb_error *err);

/**
 * bb_member_delete() - free a membership.
 * @m: membership, may be NULL
 */
void bb_member_delete(struct bb_member *m);

/**
 * bb_member_update() - move to a newer configuration.
 * @m: membership
 * @config: accepted configuration
 * @now_us: current time
 * @err: BB_ERROR_STALE when its version is lower than the present one
 *
 * Evidence of hosts that remain is kept.
 *
 * Return: 0, or -1.
 */
int bb_member_update(struct bb_member *m, const struct bb_config *config,
		     int64_t now_us, struct bb_error *err);

/**
 * bb_member_tick() - request a digest from a peer when one is due.
 * @m: membership
 * @now_us: current time
 *
 * Return: time at which to call again.
 */
int64_t bb_member_tick(struct bb_member *m, int64_t now_us);

/**
 * bb_member_receive() - process a received message.
 * @m: membership
 * @sender: host index of the sender, or BB_NO_ROW if not known
 * @msg: digest request or digest; other messages are ignored
 * @now_us: current time
 *
 * Return: message to send back to the sender, valid until the next call, or
 * NULL. It must be sent at once or not at all: if it were sent later, its ages
 * would be too low.
 */
const struct bb_message *bb_member_receive(struct bb_member *m, uint32_t sender,
					   const struct bb_message *msg,
					   int64_t now_us);

/**
 * bb_member_note_service_read() - record a read of the configuration service.
 * @m: membership
 * @version: version that it returned
 * @asked_us: time at which the read was sent, or earlier
 */
void bb_member_note_service_read(struct bb_member *m, uint64_t version,
				 int64_t asked_us);

/**
 * bb_member_stop() - announce a planned stop of this node.
 * @m: membership
 * @now_us: current time
 *
 * Sends a notice to the neighbours; all later digests repeat it.
 */
void bb_member_stop(struct bb_member *m, int64_t now_us);

/**
 * bb_member_in_force() - whether the candidate is the configuration in force.
 * @m: membership
 *
 * The candidate is put in force when no newer version is known and evidence
 * from after the start covers one of these sets of seats:
 *
 * - a quorum of other seats with a version in force, or all other seats if
 *   they are fewer;
 * - all other seats, each with a version in force or starting;
 * - a quorum of starting seats, the own one included, once the freshness bound
 *   has passed since the start.
 *
 * The evidence may come through gossip.
 *
 * Return: true once it is in force, and from then on.
 */
bool bb_member_in_force(const struct bb_member *m);

/**
 * bb_member_has_quorum() - whether there is fresh evidence of a quorum.
 * @m: membership
 * @now_us: current time
 *
 * Return: true if there is a quorum.
 */
bool bb_member_has_quorum(struct bb_member *m, int64_t now_us);

/**
 * bb_member_current() - whether the configuration in force is recent enough to
 * admit requests on open routes.
 * @m: membership
 * @now_us: current time
 *
 * A node that hears of a newer version stays current until its earlier evidence
 * expires, and for half of the freshness bound at most, so that it can fetch
 * that version without refusing requests.
 *
 * Return: true if there is a quorum or a recent read of the configuration
 * service, from before a newer version became known.
 */
bool bb_member_current(struct bb_member *m, int64_t now_us);

/**
 * bb_member_current_until_us() - time until which this node stays current if
 * no further evidence arrives.
 * @m: membership
 *
 * Intended to be published to other threads, which compare it with the clock
 * when they use it.
 *
 * Return: time, INT64_MIN if there is no evidence.
 */
int64_t bb_member_current_until_us(struct bb_member *m);

/**
 * bb_member_quorum_accepted() - whether a quorum of seats accepted a version.
 * @m: membership
 * @version: the version
 *
 * Return: true if a quorum is known to have accepted it or a newer version.
 */
bool bb_member_quorum_accepted(const struct bb_member *m, uint64_t version);

/**
 * bb_member_quorum_size() - number of seats of a quorum.
 * @seats_nr: number of seats
 *
 * Return: at least 60%, rounded up.
 */
size_t bb_member_quorum_size(size_t seats_nr);

/**
 * bb_member_age_us() - upper bound of the time since a seat was running.
 * @m: membership
 * @seat: host index
 * @now_us: current time
 *
 * Return: age, INT64_MAX without evidence, 0 for the own seat.
 */
int64_t bb_member_age_us(const struct bb_member *m, uint32_t seat,
			 int64_t now_us);

/**
 * bb_member_version() - version that a seat is known to have accepted.
 * @m: membership
 * @seat: host index
 *
 * Return: lower bound of the version, 0 without evidence and for the own seat
 * before bb_member_in_force().
 */
uint64_t bb_member_version(const struct bb_member *m, uint32_t seat);

/**
 * bb_member_highest_version() - newest version that any seat accepted.
 * @m: membership
 *
 * Return: version, at least the own one.
 */
uint64_t bb_member_highest_version(const struct bb_member *m);

/**
 * bb_member_stopping() - whether a seat announced a planned stop.
 * @m: membership
 * @seat: host index
 *
 * Return: true from the announcement until there is evidence of a new process.
 */
bool bb_member_stopping(const struct bb_member *m, uint32_t seat);

/**
 * bb_member_alive() - whether a seat is alive, neither starting nor stopping.
 * @m: membership
 * @seat: host index
 * @now_us: current time
 *
 * Return: true if its evidence is fresh.
 */
bool bb_member_alive(const struct bb_member *m, uint32_t seat, int64_t now_us);

/**
 * bb_member_memory() - memory used by a membership, for benchmarks.
 * @m: membership
 *
 * Return: bytes.
 */
size_t bb_member_memory(const struct bb_member *m);

#ifdef __cplusplus
}
#endif
#endif
