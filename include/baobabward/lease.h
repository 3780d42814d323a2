/*
 * Group leases: client accounts, services and idempotency keys hash into
 * groups, and every group has a committee of hosts. Each seat of the committee
 * lends an equal share of the group to one borrower at a time. A host that has
 * borrowed shares is a holder of the group.
 *
 * Safety depends on each lender alone: a lender never lends its share to two
 * borrowers at once, and a borrower stops using it before the lender's term
 * ends. Which host should hold a group depends on liveness, on which nodes may
 * differ.
 *
 * All functions are for the control thread only; there are no locks.
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

/* Number of groups. */
#define BB_LEASE_GROUPS 512
/* Most seats of a committee. */
#define BB_LEASE_COMMITTEE_MAX 15
/* Share that stands for the whole of a group. It is the least common multiple
 * of 1 to 15, so that a share of 1/k is a whole number for each committee
 * size. */
#define BB_LEASE_SHARE_TOTAL 360360
/* Number of holders that share the seats of a group while both are alive. */
#define BB_LEASE_HOLDERS 2
/* Default length of a lease. */
#define BB_LEASE_TERM_US (8 * INT64_C(1000000))
/* Default for the greatest age of liveness evidence on which a node lends. */
#define BB_LEASE_FRESHNESS_US (10 * INT64_C(1000000))
/* Largest error of the rate of any node's clock. */
#define BB_LEASE_DRIFT_PPM 10000

/**
 * bb_lease_group() - group of a client account, service or idempotency key.
 * @name: first byte of the name
 * @size: number of bytes
 *
 * Return: 0 to BB_LEASE_GROUPS - 1.
 */
uint32_t bb_lease_group(const char *name, size_t size);

/**
 * struct bb_lease_map - committees of one host list, reference-counted.
 */
struct bb_lease_map;

/**
 * bb_lease_map_new() - choose the committee of every group.
 * @c: configuration with the hosts; not kept
 * @whole: all hosts are in committees; otherwise an eighth of them, and at least
 *         32, so that a node that uses many groups talks to few holders. Must be
 *         equal on all nodes.
 *
 * Return: map with one reference.
 */
struct bb_lease_map *bb_lease_map_new(const struct bb_config *c, bool whole);

/**
 * bb_lease_map_fits() - whether a map has the hosts of a configuration, with the
 * same indexes, so that a new one would be the same.
 */
bool bb_lease_map_fits(const struct bb_lease_map *m, const struct bb_config *c);

/**
 * bb_lease_map_set_holders() - set how many hosts share a group's seats.
 * @m: the map
 * @holders: 1 or 2, default BB_LEASE_HOLDERS; must be equal on all nodes
 */
void bb_lease_map_set_holders(struct bb_lease_map *m, uint32_t holders);
uint32_t bb_lease_map_holders(const struct bb_lease_map *m);
struct bb_lease_map *bb_lease_map_ref(struct bb_lease_map *m);
void bb_lease_map_unref(struct bb_lease_map *m);

/**
 * bb_lease_map_seats() - size of the committees.
 * @m: the map
 *
 * Return: the largest odd number up to min(hosts, BB_LEASE_COMMITTEE_MAX). With
 * an odd number, one of two holders has more than half of the seats, which
 * idempotency records need.
 */
uint32_t bb_lease_map_seats(const struct bb_lease_map *m);

/**
 * bb_lease_map_seat() - member of a committee.
 * @m: the map
 * @group: the group
 * @rank: rank of the seat, from 0 to bb_lease_map_seats() - 1
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
 * bb_lease_map_host_id() - identifier of a host, equal in all host lists.
 * @m: the map
 * @host: index of the host
 *
 * Return: hash of the host's name, 0 if there is no such host.
 */
uint64_t bb_lease_map_host_id(const struct bb_lease_map *m, uint32_t host);

/**
 * bb_lease_map_find() - look up a host by its identifier.
 * @m: the map
 * @id: from bb_lease_map_host_id()
 *
 * Return: index of the host, or BB_NO_ROW.
 */
uint32_t bb_lease_map_find(const struct bb_lease_map *m, uint64_t id);

/**
 * bb_lease_alive_fn() - whether a host is believed to run; nodes may differ.
 */
typedef bool bb_lease_alive_fn(void *data, uint32_t host, int64_t now_us);

/**
 * struct bb_lender_options - options of a lender.
 * @self: name of this host
 * @incarnation: of this process
 * @data: passed to the callbacks
 * @may_lend: whether liveness evidence of a quorum is fresh and no newer
 *            version of the configuration is known
 * @quorum_accepted: whether a quorum is known to have accepted this or a newer
 *                   version
 * @alive: liveness of the hosts
 * @send: sends a message to a host
 * @term_us: length of a lease, 0 for BB_LEASE_TERM_US; must be equal on all
 *           nodes
 * @freshness_us: greatest age of liveness evidence, 0 for
 *                BB_LEASE_FRESHNESS_US; must be equal on all nodes
 * @drift_ppm: largest error of a clock's rate; must be equal on all nodes
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
 * A seat lends at once only if this process has had it in every version of the
 * host list since it first lent it. Otherwise, and after a start, it waits
 * until a quorum has accepted @c, and then for the freshness bound, the term
 * and the margin for clock drift.
 */
void bb_lender_set_config(struct bb_lender *l, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us);

/**
 * bb_lender_tick() - end waits that are over, grant leases that became free.
 */
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
 * bb_lender_active_leases() - number of leases that have not ended.
 */
size_t bb_lender_active_leases(const struct bb_lender *l, int64_t now_us);

/**
 * struct bb_holder_options - options of a holder.
 * @self: name of this host
 * @incarnation: of this process
 * @data: passed to the callbacks
 * @alive: liveness of the hosts
 * @send: sends a message to a host
 * @drift_ppm: as for the lender
 * @reachable_permille: returns how many thousandths of the hosts are alive; may
 *                      be NULL. If set, groups are held by rank instead of by
 *                      lease: the first live host of even rank holds half of a
 *                      group, and the first of odd rank the other half. If
 *                      fewer than half of the hosts are reachable, each holds
 *                      only the reachable part of its half. Hosts that disagree
 *                      on which hosts are alive may hold the same half until
 *                      they agree again.
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
 * struct bb_holder_callbacks - for state that depends on the shares held.
 * @data: passed to the callbacks
 * @before_growth: called before the share of a group grows
 * @in_use: whether the group's share is still in use, so that its leases can't
 *          be released
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
 * bb_holder_tick() - request and renew leases, release them when stopping.
 * @h: the holder
 * @now_us: time
 *
 * To be called about every 100 ms.
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
 * Return: number of seats, of bb_lease_map_seats().
 */
uint32_t bb_holder_seats(const struct bb_holder *h, uint32_t group,
			 int64_t now_us);

/**
 * bb_holder_seats_since() - seats of a group held without a gap up to now.
 * @h: the holder
 * @group: the group
 * @since_us: start of the time without a gap
 * @now_us: time
 *
 * Return: how many of bb_holder_seats() were held since @since_us.
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
 * bb_holder_valid_until() - end of validity of what is granted from a share.
 * @h: the holder
 * @group: the group
 * @min_end_us: leases that end at or before this time are ignored
 * @max_end_us: latest end to return
 *
 * Return: the end of the first other lease that ends, at most @max_end_us; 0 if
 * there is none or the holder stops.
 */
int64_t bb_holder_valid_until(const struct bb_holder *h, uint32_t group,
			      int64_t min_end_us, int64_t max_end_us);

/**
 * bb_holder_share_integral() - share held, summed over time.
 * @h: the holder
 * @group: the group
 * @now_us: time
 * @growth_integral: set to the value at which the share last grew
 *
 * Return: sum of share times microseconds, modulo 2^64.
 */
uint64_t bb_holder_share_integral(struct bb_holder *h, uint32_t group,
				  int64_t now_us, uint64_t *growth_integral);

/**
 * bb_holder_stop() - request no more leases, release those not in use.
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
