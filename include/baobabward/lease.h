/*
 * Group leases: every client account hashes into a group, and the share of a
 * group that each seat of its committee may lend has one borrower at a time.
 *
 * Safety rests on each lender alone: a lender never lends its share to two
 * borrowers at once, and a borrower stops using it before the lender's term
 * ends. Who should hold a group is soft state on which nodes may differ.
 *
 * Everything here belongs to the control thread; nothing locks.
 */
#ifndef BAOBABWARD_LEASE_H
#define BAOBABWARD_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_LEASE_GROUPS 512
/* Largest committee of a group. */
#define BB_LEASE_COMMITTEE_MAX 15
/* The whole of a group: least common multiple of 1 to 15, so that a share of
 * 1/k is a whole number. */
#define BB_LEASE_SHARE_TOTAL 360360
/* Holders that share the seats of a group while both are alive. */
#define BB_LEASE_HOLDERS 2
#define BB_LEASE_TERM_US (8 * INT64_C(1000000))
/* Age of the oldest liveness evidence on which a node lends. */
#define BB_LEASE_FRESHNESS_US (10 * INT64_C(1000000))
/* Largest error of the rate of any node's clock, in parts per million. */
#define BB_LEASE_DRIFT_PPM 10000

/**
 * bb_lease_group() - group of a client account or service.
 * @name: first byte of the name
 * @size: number of bytes
 *
 * Return: 0 to BB_LEASE_GROUPS - 1.
 */
uint32_t bb_lease_group(const char *name, size_t size);

/**
 * struct bb_lease_map - committees of one host list, shared by reference.
 */
struct bb_lease_map;

/**
 * bb_lease_map_new() - rank the hosts of a configuration for every group.
 * @c: snapshot; not referred to afterwards
 *
 * Return: map with one reference.
 */
struct bb_lease_map *bb_lease_map_new(const struct bb_config *c);

/**
 * bb_lease_map_set_holders() - number of hosts that share a group's seats.
 * @m: the map
 * @holders: 1 or 2, BB_LEASE_HOLDERS at first; equal on all nodes
 */
void bb_lease_map_set_holders(struct bb_lease_map *m, uint32_t holders);
uint32_t bb_lease_map_holders(const struct bb_lease_map *m);
struct bb_lease_map *bb_lease_map_ref(struct bb_lease_map *m);
void bb_lease_map_unref(struct bb_lease_map *m);

/**
 * bb_lease_map_seats() - size of the committees.
 * @m: the map
 *
 * Return: the largest odd number up to min(hosts, BB_LEASE_COMMITTEE_MAX); one of
 * two holders then has more than half of the seats, which idempotency records
 * need.
 */
uint32_t bb_lease_map_seats(const struct bb_lease_map *m);

/**
 * bb_lease_map_seat() - member of a committee.
 * @m: the map
 * @group: the group
 * @rank: 0 for the first, below bb_lease_map_seats()
 *
 * Return: index of the host.
 */
uint32_t bb_lease_map_seat(const struct bb_lease_map *m, uint32_t group,
			   uint32_t rank);

/**
 * bb_lease_map_same_hosts() - compare the hosts of two maps.
 * @a: map
 * @b: map
 *
 * Return: true if both have the same hosts, and so the same committees.
 */
bool bb_lease_map_same_hosts(const struct bb_lease_map *a,
			     const struct bb_lease_map *b);

/**
 * bb_lease_map_host_id() - identifies a host across host lists.
 * @m: the map
 * @host: index of the host
 *
 * Return: hash of the host's name, 0 if there is no such host.
 */
uint64_t bb_lease_map_host_id(const struct bb_lease_map *m, uint32_t host);

/**
 * bb_lease_map_find() - host with an identifier.
 * @m: the map
 * @id: from bb_lease_map_host_id()
 *
 * Return: index of the host, or BB_NO_ROW.
 */
uint32_t bb_lease_map_find(const struct bb_lease_map *m, uint64_t id);

/**
 * bb_lease_alive_fn() - whether a host is believed to run; soft state.
 */
typedef bool bb_lease_alive_fn(void *data, uint32_t host, int64_t now_us);

/**
 * struct bb_lender_options - options of a lender.
 * @self: name of this host
 * @incarnation: of this process
 * @data: handed to the callbacks
 * @may_lend: liveness evidence of a quorum is fresh and no newer version known
 * @quorum_accepted: a quorum is known to have accepted this or a newer version
 * @alive: liveness of the hosts
 * @send: hands out a message
 * @term_us: length of a lease, 0 for BB_LEASE_TERM_US; equal on all nodes
 * @freshness_us: bound on the age of liveness evidence, 0 for
 *                BB_LEASE_FRESHNESS_US; equal on all nodes
 * @drift_ppm: largest error of a clock's rate, equal on all nodes
 */
struct bb_lender_options {
	const char *self;
	uint64_t incarnation;
	void *data;
	bool (*may_lend)(void *data, int64_t now_us);
	bool (*quorum_accepted)(void *data, uint64_t version);
	bb_lease_alive_fn *alive;
	bb_send_fn *send;
	int64_t term_us;
	int64_t freshness_us;
	int64_t drift_ppm;
};

struct bb_lender;

struct bb_lender *bb_lender_new(const struct bb_lender_options *o);
void bb_lender_delete(struct bb_lender *l);

/**
 * bb_lender_set_config() - apply a configuration.
 * @l: the lender
 * @c: snapshot; not referred to afterwards
 * @m: map of @c
 * @now_us: time
 *
 * A seat lends at once only if this process has lent it in every version of
 * the host list since it did so first. Otherwise, and after a start, it waits
 * until a quorum has accepted @c and then freshness, term and margin more.
 */
void bb_lender_set_config(struct bb_lender *l, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us);
void bb_lender_tick(struct bb_lender *l, int64_t now_us);

/**
 * bb_lender_receive() - handle LEASE_REQUEST or LEASE_RELEASE.
 * @l: the lender
 * @from_host: index of the sender
 * @m: the message; other types are ignored
 * @now_us: time
 */
void bb_lender_receive(struct bb_lender *l, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us);

/**
 * bb_lender_active_leases() - number of leases that run.
 */
size_t bb_lender_active_leases(const struct bb_lender *l, int64_t now_us);

/**
 * struct bb_holder_options - options of a holder.
 * @self: name of this host
 * @incarnation: of this process
 * @data: handed to the callbacks
 * @alive: liveness of the hosts
 * @send: hands out a message
 * @drift_ppm: as for the lender
 * @reachable_permille: thousandths of the hosts that are alive. If set, groups are not
 *             leased: the first live host of even rank holds half of a group,
 *             that of odd rank the other half; each only its reachable part
 *             when fewer than half of the hosts are reachable. Hosts that
 *             disagree on who is alive then both hold a half until they agree
 *             again.
 */
struct bb_holder_options {
	const char *self;
	uint64_t incarnation;
	void *data;
	bb_lease_alive_fn *alive;
	bb_send_fn *send;
	int64_t drift_ppm;
	uint32_t (*reachable_permille)(void *data, int64_t now_us);
};

struct bb_holder;

/**
 * struct bb_holder_callbacks - keeps state that depends on the shares held.
 * @data: handed to the callbacks
 * @before_growth: called before the share of a group grows
 * @in_use: the group's share is still in use, its leases can't be released
 */
struct bb_holder_callbacks {
	void *data;
	void (*before_growth)(void *data, uint32_t group, int64_t now_us);
	bool (*in_use)(void *data, uint32_t group, int64_t now_us);
};

struct bb_holder *bb_holder_new(const struct bb_holder_options *o);
void bb_holder_delete(struct bb_holder *h);
void bb_holder_set_callbacks(struct bb_holder *h,
			     const struct bb_holder_callbacks *u);
void bb_holder_set_config(struct bb_holder *h, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us);

/**
 * bb_holder_tick() - ask for and renew leases, release them when stopping.
 * @h: the holder
 * @now_us: time
 *
 * Call it every 100 ms or so.
 */
void bb_holder_tick(struct bb_holder *h, int64_t now_us);
void bb_holder_receive(struct bb_holder *h, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us);

/**
 * bb_holder_seats() - seats of a group held now.
 * @h: the holder
 * @group: the group
 * @now_us: time
 *
 * Return: v of bb_lease_map_seats().
 */
uint32_t bb_holder_seats(const struct bb_holder *h, uint32_t group,
			 int64_t now_us);

/**
 * bb_holder_seats_since() - seats of a group held now without a gap.
 * @h: the holder
 * @group: the group
 * @since_us: start of the time without a gap
 * @now_us: time
 *
 * Return: those of bb_holder_seats() that were held since @since_us.
 */
uint32_t bb_holder_seats_since(const struct bb_holder *h, uint32_t group,
			       int64_t since_us, int64_t now_us);

/**
 * bb_holder_share() - share of a group held until a time.
 * @h: the holder
 * @group: the group
 * @until_us: time
 *
 * Return: at most BB_LEASE_SHARE_TOTAL.
 */
uint32_t bb_holder_share(const struct bb_holder *h, uint32_t group,
			 int64_t until_us);

/**
 * bb_holder_valid_until() - end of the validity of something granted from a share.
 * @h: the holder
 * @group: the group
 * @least_us: leases that end before this time are left out of account
 * @most_us: latest end
 *
 * Return: the end of the first counted lease, at most @most_us; 0 if no lease
 * is counted.
 */
int64_t bb_holder_valid_until(const struct bb_holder *h, uint32_t group,
			      int64_t least_us, int64_t most_us);

/**
 * bb_holder_share_integral() - share held, summed over time.
 * @h: the holder
 * @group: the group
 * @now_us: time
 * @since: set to the value at which the share last grew
 *
 * Return: sum of share times microseconds, modulo 2^64.
 */
uint64_t bb_holder_share_integral(struct bb_holder *h, uint32_t group,
				  int64_t now_us, uint64_t *since);

/**
 * bb_holder_stop() - ask for no more leases, release those not in use.
 */
void bb_holder_stop(struct bb_holder *h);

/**
 * bb_holder_groups() - number of groups of which a share is held.
 */
size_t bb_holder_groups(const struct bb_holder *h, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
