/*
 * Load balancing of an entry node over the backend servers of one service, by
 * the power of two choices.
 *
 * Two candidates are drawn by weight; the one with the lower estimated load
 * relative to its weight is chosen. The estimate is the sum of this node's own
 * requests in flight, which are known exactly, and the load from other nodes,
 * which is known from reports in results only. As a report ages, the estimate
 * moves from the reported load to the mean of the pool, so that an old report
 * neither attracts nor repels all requests.
 *
 * In a large pool each node uses a subset: an eighth of the backend servers, and
 * at least a given number, so that connections and what has to be known of each
 * grow more slowly than the fleet. Each pair of a node and a backend server has
 * a rank by a hash; the subset has the first ones, of the own availability zone
 * and of the others by turns. So each backend server is in about as many subsets
 * as any other, one that joins is in its share of them at once, and one that
 * leaves changes no more than that. Members that cannot be chosen at present do
 * not count: the subset is widened by as many, up to the whole pool.
 *
 * With a struct bb_placement the choice is by expected finish instead of by load,
 * for a fleet whose requests differ in cost and size and whose nodes hear of each
 * server only every few seconds. The candidates are drawn as above; the best of
 * the own availability zone stays one of them. Bytes that would cross zones count
 * against the wait that they save. Estimates change the load and the speed of a
 * server by a factor of two at most, and lose their weight with their age.
 *
 * A struct bb_balance is made from one configuration snapshot, which fixes its
 * backend servers and weights. What was learned about a backend server is in a
 * struct bb_path, which is shared with the balance of the next snapshot and
 * kept while requests use it.
 *
 * Threads: every function may be called from any thread at the same time unless
 * it says otherwise; paths are accessed atomically and nothing blocks. The
 * caller keeps the balance alive (epoch reclamation) while a thread uses it; a
 * path returned by bb_balance_choose() lives until bb_path_release() even after
 * that.
 */
#ifndef BAOBABWARD_BALANCE_H
#define BAOBABWARD_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/path.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bb_balance;
struct bb_path;

/* Longest time for which an adjacent node's request to avoid its backend server
 * (avoid_for_us, the hint) is followed. After that one request finds out
 * whether the hint still holds. */
#define BB_BALANCE_HINT_MAX_US INT64_C(10000000)

/**
 * struct bb_balance_options - options of a balance. Loads are relative to the
 * slots of a backend server: 1 means that all are taken.
 * @config: snapshot; must outlive the balance
 * @service: handle of the service
 * @zone_id: availability zone of this node
 * @zone_penalty: load added to backend servers in other availability zones: one
 *                in this zone with that load is as good as an idle one in
 *                another; 0.25 if negative
 * @local_max_load: the better of two backend servers drawn in this node's
 *                  availability zone is chosen without comparing other zones if
 *                  its load is at most this; 0 to draw over all zones
 * @subset: smallest size of the subset, 0 to use the whole pool
 * @self: name of this host; required with @subset
 * @stale_us: age at which a report has half of its weight; 20 ms if 0
 * @seed: seed of the random choices
 * @previous: balance of an earlier snapshot to share paths with, or NULL
 */
struct bb_balance_options {
	const struct bb_config *config;
	uint32_t service;
	uint32_t zone_id;
	double zone_penalty;
	double local_max_load;
	uint32_t subset;
	const char *self;
	int64_t stale_us;
	uint64_t seed;
	const struct bb_balance *previous;
};

/**
 * struct bb_choice - chosen backend server.
 * @backend: handle in the snapshot of the balance, or BB_NO_ROW
 * @path: path to it, to be passed to bb_path_release() once; NULL if no backend
 *        server is eligible
 */
struct bb_choice {
	uint32_t backend;
	struct bb_path *path;
};

/**
 * bb_balance_new() - make a balance for a service of a snapshot.
 * @o: options
 *
 * Return: balance that the caller deletes.
 */
struct bb_balance *bb_balance_new(const struct bb_balance_options *o);

/**
 * bb_balance_delete() - free a balance; paths in use are kept.
 * @b: balance, may be NULL
 */
void bb_balance_delete(struct bb_balance *b);

/**
 * struct bb_placement - what the choice has to know of a request; all zero for a
 * choice by load only.
 * @cost_us: its expected time in a slot of a backend server of mean speed
 * @service_us: mean time of all requests of the service; 0 if unknown, for a
 *              choice by load only
 * @bytes: expected size of the request and of its response
 * @target_us: time at which its target latency ends, 0 if it has none
 * @deadline_us: its deadline, 0 if it has none
 */
struct bb_placement {
	int64_t cost_us;
	int64_t service_us;
	uint64_t bytes;
	int64_t target_us;
	int64_t deadline_us;
};

/**
 * bb_balance_choose() - choose a backend server and count a request on it.
 * @b: balance
 * @excluded: handles of backend servers that are not chosen, such as those of
 *            earlier attempts
 * @excluded_nr: number of @excluded
 * @now_us: current time
 *
 * Backend servers that are not in the state "in", whose host is evacuated, that
 * are leaving by their host or their own word, or are avoided are not chosen. Paths avoided because of this
 * node's own timeouts are used as a last resort when no other backend server is
 * eligible; the hints of adjacent nodes are always followed.
 *
 * Return: choice, with BB_NO_ROW when no backend server is eligible.
 */
struct bb_choice bb_balance_choose(struct bb_balance *b,
				   const uint32_t *excluded, size_t excluded_nr,
				   int64_t now_us);

/**
 * bb_balance_place() - choose a backend server by expected finish and count a
 * request on it.
 * @b: balance
 * @p: the request, NULL for bb_balance_choose()
 * @excluded: handles that are not chosen
 * @excluded_nr: number of @excluded
 * @now_us: current time
 *
 * Return: choice, with BB_NO_ROW when no backend server is eligible.
 */
struct bb_choice bb_balance_place(struct bb_balance *b,
				  const struct bb_placement *p,
				  const uint32_t *excluded, size_t excluded_nr,
				  int64_t now_us);

/**
 * bb_balance_choose_least_loaded() - choose the backend server with the lowest
 * estimated load of all and count a request on it.
 * @b: balance
 * @excluded: handles that are not chosen
 * @excluded_nr: number of @excluded
 * @now_us: current time
 *
 * For a request that will wait for a slot, after its slot searches have brought
 * recent load reports. Looks at every backend server of the subset.
 *
 * Return: choice, with BB_NO_ROW when no backend server is eligible.
 */
struct bb_choice bb_balance_choose_least_loaded(struct bb_balance *b,
						const uint32_t *excluded,
						size_t excluded_nr,
						int64_t now_us);

/**
 * bb_balance_place_least_loaded() - the same by expected finish.
 * @b: balance
 * @p: the request, NULL for bb_balance_choose_least_loaded()
 * @excluded: handles that are not chosen
 * @excluded_nr: number of @excluded
 * @now_us: current time
 */
struct bb_choice bb_balance_place_least_loaded(struct bb_balance *b,
					       const struct bb_placement *p,
					       const uint32_t *excluded,
					       size_t excluded_nr,
					       int64_t now_us);

/**
 * bb_balance_choose_any() - choose among all backend servers in the state "in"
 * that are neither evacuated nor leaving and whose path is not avoided.
 * @b: balance
 * @now_us: current time
 *
 * For a request that has no other backend server left: hints of adjacent nodes
 * are ignored, and backend servers of earlier attempts may be chosen again.
 *
 * Return: choice, with BB_NO_ROW when there is none.
 */
struct bb_choice bb_balance_choose_any(struct bb_balance *b, int64_t now_us);

/**
 * bb_balance_path() - look up the path to a backend server without counting a
 * request on it.
 * @b: balance
 * @backend: handle of a backend server of the service
 *
 * Return: path that lives as long as the balance, or NULL.
 */
struct bb_path *bb_balance_path(struct bb_balance *b, uint32_t backend);

/**
 * bb_balance_report() - update the load estimates from the load in a result.
 * @b: balance
 * @path: path of the request
 * @load: load of the backend server as its adjacent node reports it, with the
 *        hint
 * @now_us: current time
 */
void bb_balance_report(struct bb_balance *b, struct bb_path *path,
		       const struct bb_load *load, int64_t now_us);

/**
 * bb_balance_avoid() - avoid a path for a while, for example to a node that is
 * stopping.
 * @b: balance
 * @path: the path
 * @until_us: when it may be chosen again
 * @now_us: current time
 *
 * Refused if less than the service's floor, a percentage of its total weight,
 * would remain eligible. Concurrent calls may go below the floor by one path
 * per thread until @until_us. Paths avoided here are still used as a last
 * resort.
 *
 * Return: true if the path is avoided now.
 */
bool bb_balance_avoid(struct bb_balance *b, struct bb_path *path,
		      int64_t until_us, int64_t now_us);

/**
 * bb_balance_filter_paths() - avoid the paths to hosts that do not answer, as
 * far as the floor allows.
 * @b: balance
 * @paths: paths of this node to the hosts of the snapshot
 * @keep_floor: avoid no more of them than the floor allows; otherwise only the
 *              last one stays in use
 * @now_us: current time
 *
 * Call it before each choice, from one thread only. The remaining weight is
 * computed again each time, because backend servers may have been ejected or
 * begun to leave. Paths avoided here are still used as a last resort. Returns
 * early while no path is avoided.
 */
void bb_balance_filter_paths(struct bb_balance *b, const struct bb_paths *paths,
			     bool keep_floor, int64_t now_us);

/**
 * bb_balance_set_leaving() - set whether a host is leaving.
 * @b: balance
 * @host: handle of a host in the snapshot
 * @leaving: true if its backend servers get no new requests
 *
 * Carried over to the next snapshot; call again when the list of leaving hosts
 * changes.
 */
void bb_balance_set_leaving(struct bb_balance *b, uint32_t host, bool leaving);

/**
 * bb_path_set_leaving() - set whether a backend server itself said that it is
 * leaving.
 * @path: path to it
 * @leaving: true if it gets no new requests, whatever its host does
 */
void bb_path_set_leaving(struct bb_path *path, bool leaving);

/**
 * bb_balance_subset() - number of backend servers that are chosen from now.
 * @b: balance
 * @now_us: current time
 */
size_t bb_balance_subset(struct bb_balance *b, int64_t now_us);

/**
 * bb_path_release() - count the end of a request on the path, whatever its
 * outcome, and drop the reference that the choice holds.
 * @path: path of the choice
 */
void bb_path_release(struct bb_path *path);

/**
 * bb_path_in_flight() - this node's own requests in flight on a path.
 * @path: the path
 *
 * Return: number of requests.
 */
uint32_t bb_path_in_flight(const struct bb_path *path);

#ifdef __cplusplus
}
#endif
#endif
