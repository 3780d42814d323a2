/*
 * Membership by pull gossip, and freshness of the configuration.
 *
 * A seat is a host of the accepted configuration. A node keeps, for each
 * seat, a time on its own clock at or after which the seat was certainly
 * running, and a configuration version that the seat had accepted by then.
 * From these it tells whether it hears a quorum (at least 60% of the seats,
 * rounded up, itself included), whether it is current, and which seats look
 * alive.
 *
 * Evidence is an upper bound of an age. An answer to a request proves that the
 * answering seat ran after the request was sent, so its age is counted from
 * the sending; the ages in the answer are counted from there as well. Evidence
 * therefore never claims that a seat ran later than it did, whatever the
 * delays, pauses and restarts: an answer that arrives after a pause has the
 * pause added to its ages, and a restarted node starts without evidence.
 * Incoming requests prove nothing about their age and are no evidence.
 *
 * Seat lists that differ: seats are identified by host name. A node keeps the
 * mapping of its latest seat lists to the present one, so that the digests of
 * peers with an older configuration remain usable. From a digest with an
 * unknown seat list only the evidence of its sender is used. A peer with a
 * newer configuration makes this node not current until it has caught up.
 *
 * A process does not know what its earlier incarnation had accepted. It
 * therefore starts with a candidate, which it neither announces as accepted nor
 * lets anything use, until bb_member_in_force(): see there and
 * docs/decisions/membership.md. Starting seats are alive for nobody and count
 * for no quorum, because they cannot tell of a version that they accepted.
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

/* Values used where an option is 0; measured in docs/measurements/member.md. */
#define BB_MEMBER_DEFAULT_INTERVAL_US INT64_C(500000)
#define BB_MEMBER_DEFAULT_FRESHNESS_US INT64_C(10000000)
#define BB_MEMBER_DEFAULT_NEIGHBOURS 12
#define BB_MEMBER_DEFAULT_DIGEST_ENTRIES 160

/* Share of the seats that is a quorum, in percent. */
#define BB_QUORUM_PERCENT 60

/**
 * bb_newer_version_fn() - a peer has a newer configuration than this node.
 * @data: of the options
 * @host: seat that accepted it, in the present configuration
 * @version: its version
 *
 * Called at most once a second for the same version. The caller requests the
 * pages from that seat.
 */
typedef void bb_newer_version_fn(void *data, uint32_t host, uint64_t version);

/**
 * bb_connect_peer_fn() - messages to a peer will follow; connect to it.
 * @data: of the options
 * @host: the peer
 */
typedef void bb_connect_peer_fn(void *data, uint32_t host);

/**
 * struct bb_member_options - options of a membership.
 * @config: candidate for the configuration in force; must live until bb_member_update() returns
 *          or bb_member_delete() is called
 * @name: name of this host
 * @incarnation: of this process
 * @rand: random numbers, not owned
 * @send: sends a request to a peer
 * @newer_version: see bb_newer_version_fn()
 * @connect_peer: see bb_connect_peer_fn(), may be NULL
 * @data: for the callbacks
 * @interval_us: mean time between two digest requests
 * @freshness_us: age up to which evidence counts
 * @config_linearizable: the configuration comes from linearizable reads; it is in force at
 *           once
 * @neighbours: number of peers that are asked in turn
 * @digest_entries: seats wanted in a digest while there is a quorum
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
 * bb_member_new() - start without evidence.
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
 * bb_member_tick() - ask a peer for its digest when it is time.
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
 * NULL. It must be sent at once or not at all: sent later, its ages would be
 * too low.
 */
const struct bb_message *bb_member_receive(struct bb_member *m, uint32_t sender,
					   const struct bb_message *msg,
					   int64_t now_us);

/**
 * bb_member_note_service_read() - the configuration service was read.
 * @m: membership
 * @version: version that it returned
 * @asked_us: time before the read was sent
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
 * bb_member_in_force() - the candidate became the configuration in force.
 * @m: membership
 *
 * That takes evidence from after the start, no newer version known, and one of:
 * a quorum of other seats with a version in force, or all other seats if they
 * are fewer; all other seats, with a version in force or starting; or, when
 * the freshness bound has passed since the start, a quorum of starting seats,
 * the own one included. The evidence may come through gossip.
 *
 * Return: true from then on.
 */
bool bb_member_in_force(const struct bb_member *m);

/**
 * bb_member_has_quorum() - a quorum of seats was heard of recently.
 * @m: membership
 * @now_us: current time
 *
 * Return: true if there is a quorum.
 */
bool bb_member_has_quorum(struct bb_member *m, int64_t now_us);

/**
 * bb_member_current() - the configuration in force is recent enough to admit
 * requests on open routes.
 * @m: membership
 * @now_us: current time
 *
 * A node that hears of a newer version stays current until its evidence from
 * before ends, and for half of the freshness bound at most, so that it can get
 * that version without refusing requests.
 *
 * Return: true if there is a quorum or a recent read of the configuration
 * service, from before a newer version became known.
 */
bool bb_member_current(struct bb_member *m, int64_t now_us);

/**
 * bb_member_current_until_us() - end of being current without new evidence.
 * @m: membership
 *
 * For other threads, which compare it with the clock at the moment of use.
 *
 * Return: time, INT64_MIN if there is no evidence.
 */
int64_t bb_member_current_until_us(struct bb_member *m);

/**
 * bb_member_quorum_accepted() - a quorum of seats accepted a version.
 * @m: membership
 * @version: the version
 *
 * Return: true if a quorum is known to have accepted it or a newer one.
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
 * bb_member_stopping() - a seat announced a planned stop.
 * @m: membership
 * @seat: host index
 *
 * Return: true from the announcement until evidence of a new process.
 */
bool bb_member_stopping(const struct bb_member *m, uint32_t seat);

/**
 * bb_member_alive() - a seat looks alive, is not starting and not stopping.
 * @m: membership
 * @seat: host index
 * @now_us: current time
 *
 * Return: true if its evidence is fresh.
 */
bool bb_member_alive(const struct bb_member *m, uint32_t seat, int64_t now_us);

/**
 * bb_member_memory() - memory of a membership, for measurements.
 * @m: membership
 *
 * Return: bytes.
 */
size_t bb_member_memory(const struct bb_member *m);

#ifdef __cplusplus
}
#endif
#endif
