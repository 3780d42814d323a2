/*
 * Relay of a registry between nodes, so that few of them read it.
 *
 * Load pattern: the registry's calls are charged for and limited over the whole
 * fleet, and each node has to know of a change within a fixed time. If every
 * node watched the registry, the calls would grow with the fleet.
 *
 * Of the hosts of each group, the first few live ones in the order of a hash read
 * the registry; the others ask one of those for changes. A group is an
 * availability zone or, if that is small, the whole fleet. There is no election:
 * nodes that disagree on who is alive only read more often. A node asks hosts
 * before it in that order only, so that no two ask each other; but one that the
 * registry does not answer asks any, since the registry may answer those.
 *
 * What a peer passes on is never trusted more than an own read. Each answer has
 * the era and the revision of the registry and the age of the evidence that
 * this was its state. An answer that is too old, is of another era, goes back
 * or does not arrive in time is dropped: the node then reads the registry
 * itself, at once, and does not ask that peer for a while.
 *
 * Ages are upper bounds but for the time that a message was under way, which
 * the time-out of the request bounds. With A for the time within which a change
 * must be known, a reader has evidence every 0.5 A, peers use evidence of up to
 * 0.6 A, and a peer that falls silent is given up after 0.4 A.
 *
 * A node keeps the latest revision of every item, and of each removal for a
 * time, and answers from that what changed after a revision.
 *
 * No I/O. Times are microseconds of the caller's monotonic clock. Used by one
 * thread. No callback is called from within bb_relay_read().
 */
#ifndef BAOBABWARD_RELAY_H
#define BAOBABWARD_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bb_relay;

/**
 * struct bb_relay_options - options of a relay.
 * @self: name of this host
 * @apply_us: time within which a change of the registry must be known here
 * @hosts_per_reader: hosts of a group for each of its readers; an availability
 *                    zone of half as many is a group of its own. 0 lets every
 *                    node read by itself.
 * @send: sends a message to a peer
 * @alive: whether a host is alive and is not stopping
 * @data: passed to @send and @alive
 */
struct bb_relay_options {
	const char *self;
	int64_t apply_us;
	uint32_t hosts_per_reader;
	bb_send_fn *send;
	bool (*alive)(void *data, uint32_t host, int64_t now_us);
	void *data;
};

/**
 * struct bb_relay_reader - the part of the node that reads the registry.
 * @answered: the read that bb_relay_read() began has ended. @m has the changes,
 *            which the relay has noted already, or is NULL if the registry
 *            itself must be read now; valid during the call.
 * @asked: a peer asks this node, whose evidence is too old to be passed on; a
 *         read that waits for long, or follows a pause, should begin now
 * @data: passed to both
 */
struct bb_relay_reader {
	void (*answered)(void *data,
			 const struct bb_message_registry_changes *m);
	void (*asked)(void *data);
	void *data;
};

struct bb_relay *bb_relay_new(const struct bb_relay_options *o);
void bb_relay_delete(struct bb_relay *r);

/**
 * bb_relay_set_reader() - set or, with NULL, clear who reads the registry.
 * @r: relay
 * @reader: copied
 */
void bb_relay_set_reader(struct bb_relay *r,
			 const struct bb_relay_reader *reader);

/**
 * bb_relay_set_config() - set the hosts of the fleet.
 * @r: relay
 * @c: configuration; must stay valid until the next call has returned
 */
void bb_relay_set_config(struct bb_relay *r, const struct bb_config *c);

/**
 * bb_relay_put() - note an item that was read from the registry.
 * @r: relay
 * @item: copied
 * @now_us: current time
 */
void bb_relay_put(struct bb_relay *r, const struct bb_registry_item *item,
		  int64_t now_us);

/**
 * bb_relay_begin_list() - a complete list follows through bb_relay_put().
 */
void bb_relay_begin_list(struct bb_relay *r);

/**
 * bb_relay_end_list() - the list is complete; items that were not put were
 * removed.
 * @r: relay
 * @revision: revision of the registry at which the list began
 * @now_us: current time
 */
void bb_relay_end_list(struct bb_relay *r, uint64_t revision, int64_t now_us);

/**
 * bb_relay_confirm() - the registry itself answered.
 * @r: relay
 * @era: era of the registry, -1 if it tells none
 * @revision: all changes up to this one were put
 * @now_us: current time
 *
 * Peers that wait are answered if there is something new for them.
 */
void bb_relay_confirm(struct bb_relay *r, int64_t era, uint64_t revision,
		      int64_t now_us);

/**
 * bb_relay_read_failed() - the registry did not answer this node.
 * @r: relay
 * @again: nor did it the time before; peers that wait are told to read it
 *         themselves
 * @now_us: current time
 *
 * Peers that failed are asked again, since they may have had the same reason.
 */
void bb_relay_read_failed(struct bb_relay *r, bool again, int64_t now_us);

/**
 * bb_relay_forget() - nothing that was read of the registry holds, since it was
 * restored from a copy or is another one.
 */
void bb_relay_forget(struct bb_relay *r, int64_t now_us);

/**
 * bb_relay_read() - ask a peer for the changes after a revision.
 * @r: relay
 * @era: era of the registry as last told to this node, -1 if unknown
 * @after: revision
 * @now_us: current time
 *
 * Return: true if a peer was asked, so that the reader's @answered will be
 * called; false if this node has to read the registry.
 */
bool bb_relay_read(struct bb_relay *r, int64_t era, uint64_t after,
		   int64_t now_us);

/**
 * bb_relay_ask_any() - ask a live peer for what it knows now.
 * @r: relay
 * @era: era of the registry as last told to this node, -1 if unknown
 * @after: revision
 * @now_us: current time
 *
 * For a node that the registry does not answer while it may answer others. The
 * peer may be any of the group, each time another one, and answers at once. Two
 * nodes may ask each other; the age of their evidence grows meanwhile.
 *
 * Return: as for bb_relay_read().
 */
bool bb_relay_ask_any(struct bb_relay *r, int64_t era, uint64_t after,
		      int64_t now_us);

/**
 * bb_relay_cancel() - the answer of a peer is not wanted any more.
 */
void bb_relay_cancel(struct bb_relay *r);

/**
 * bb_relay_watch_us() - for how long a watch of the registry may wait.
 * @r: relay
 * @now_us: current time
 *
 * Return: time, or 0 if no peer asked this node recently and any time will do.
 */
int64_t bb_relay_watch_us(const struct bb_relay *r, int64_t now_us);

/**
 * bb_relay_interval_us() - shortest time between the starts of two watches, so
 * that one answer carries several changes.
 */
int64_t bb_relay_interval_us(const struct bb_relay *r, int64_t now_us);

/**
 * bb_relay_receive() - process a message of a peer.
 * @r: relay
 * @host: sender
 * @m: registry-read or registry-changes
 * @now_us: current time
 */
void bb_relay_receive(struct bb_relay *r, uint32_t host,
		      const struct bb_message *m, int64_t now_us);

/**
 * bb_relay_tick() - answer peers and give up a silent one when it is time.
 */
void bb_relay_tick(struct bb_relay *r, int64_t now_us);

/**
 * struct bb_relay_status - state for operators.
 * @upstream: host that was asked last, NULL if this node reads the registry
 * @revision: revision of the registry that is known here
 * @age_us: age of the evidence for it, -1 if there is none
 * @waiting: peers that wait for an answer
 */
struct bb_relay_status {
	const char *upstream;
	uint64_t revision;
	int64_t age_us;
	size_t waiting;
};

void bb_relay_status(const struct bb_relay *r, int64_t now_us,
		     struct bb_relay_status *out);

#ifdef __cplusplus
}
#endif
#endif
