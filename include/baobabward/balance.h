/*
 * Load balancing of an entry node over the backend servers of one service.
 *
 * Two candidates are drawn by weight; the one with the lower estimated load
 * for its weight wins. The estimate adds this node's own requests in flight,
 * which are exact, to the load that others put on the backend server, which is
 * known from results only; with its age a report gives way to the mean of the
 * pool, so that an old report neither attracts nor repels all requests.
 *
 * struct bb_balance is made from one configuration snapshot and does not
 * change. What was learned of a backend server is in a struct bb_path, shared
 * with the balance of the next snapshot and kept while requests use it.
 *
 * Threads: every function may be called from any thread at the same time;
 * paths are accessed atomically and nothing blocks. The caller keeps the
 * balance alive (epoch reclamation) while a thread uses it; a path returned
 * by bb_balance_choose() lives until bb_path_release() even after that.
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

/* Longest time for which a hint of an adjacent node is trusted. After that
 * one request finds out whether it still holds. */
#define BB_BALANCE_HINT_MAX_US INT64_C(10000000)

/**
 * struct bb_balance_options - how to make a balance.
 * @config: snapshot; must outlive the balance
 * @service: handle of the service
 * @zone_id: availability zone of this node
 * @zone_penalty: load, in filled backend servers, at which another zone is
 *                as good as an idle one here; 0.25 if negative
 * @local_max_load: load, in filled backend servers, up to which one of two drawn in
 *              the own zone is chosen without a look at other zones; 0 to draw
 *              over all zones
 * @stale_us: age at which a report counts half; 20 ms if 0
 * @seed: of the random choices
 * @previous: balance of an earlier snapshot to take learned state from, or
 *            NULL
 */
struct bb_balance_options {
	const struct bb_config *config;
	uint32_t service;
	uint32_t zone_id;
	double zone_penalty;
	double local_max_load;
	int64_t stale_us;
	uint64_t seed;
	const struct bb_balance *previous;
};

/**
 * struct bb_choice - chosen backend server.
 * @backend: handle in the snapshot of the balance, or BB_NO_ROW
 * @path: state of the path to it, to be given to bb_path_release() once; NULL if
 *        no backend server is eligible
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
 * bb_balance_delete() - free a balance; paths in use stay.
 * @b: balance, may be NULL
 */
void bb_balance_delete(struct bb_balance *b);

/**
 * bb_balance_choose() - choose a backend server and count a request on it.
 * @b: balance
 * @excluded: handles that were tried already
 * @excluded_nr: number of @excluded
 * @now_us: current time
 *
 * Backend servers that are not "in", leave, or are avoided are not chosen.
 * Paths avoided because of this node's own timeouts are used as a last resort
 * when nothing else is left; the hints of adjacent nodes are not overridden.
 *
 * Return: choice, with BB_NO_ROW when no backend server is eligible.
 */
struct bb_choice bb_balance_choose(struct bb_balance *b,
				   const uint32_t *excluded, size_t excluded_nr,
				   int64_t now_us);

/**
 * bb_balance_choose_least_loaded() - choose the lowest estimated load of all.
 * @b: balance
 * @excluded: handles that are not chosen
 * @excluded_nr: number of @excluded
 * @now_us: current time
 *
 * For a request that will wait, after answers have told the present loads. It
 * looks at every backend server of the service.
 *
 * Return: choice, with BB_NO_ROW when no backend server is eligible.
 */
struct bb_choice bb_balance_choose_least_loaded(struct bb_balance *b,
						const uint32_t *excluded,
						size_t excluded_nr,
						int64_t now_us);

/**
 * bb_balance_choose_any() - choose among all backend servers that are in.
 * @b: balance
 * @now_us: current time
 *
 * For a request that has nowhere else to go: hints of adjacent nodes and what
 * it tried before are disregarded.
 *
 * Return: choice, with BB_NO_ROW when no backend server is left.
 */
struct bb_choice bb_balance_choose_any(struct bb_balance *b, int64_t now_us);

/**
 * bb_balance_path() - path to a backend server, without counting a request.
 * @b: balance
 * @backend: handle of a backend server of the service
 *
 * Return: path that lives as long as the balance, or NULL.
 */
struct bb_path *bb_balance_path(struct bb_balance *b, uint32_t backend);

/**
 * bb_balance_report() - learn from the load in a result.
 * @b: balance
 * @path: path of the request
 * @load: load of the adjacent node, with its hint
 * @now_us: current time
 */
void bb_balance_report(struct bb_balance *b, struct bb_path *path,
		       const struct bb_load *load, int64_t now_us);

/**
 * bb_balance_avoid() - avoid a path for a while, such as to a node that stops.
 * @b: balance
 * @path: the path
 * @until_us: when it may be chosen again
 * @now_us: current time
 *
 * Refused when less than the floor of the service's weight would remain
 * eligible. Calls from several threads at once may pass the floor by one path
 * each for the time of the hint; paths avoided here remain a last resort.
 *
 * Return: true if the path is avoided now.
 */
bool bb_balance_avoid(struct bb_balance *b, struct bb_path *path,
		      int64_t until_us, int64_t now_us);

/**
 * bb_balance_filter_paths() - avoid silent paths, down to the floor.
 * @b: balance
 * @paths: paths of this node to the hosts of the snapshot
 * @keep_floor: avoid no more of them than the floor allows; otherwise only the
 *              last one stays in use
 * @now_us: current time
 *
 * To be called before a choice, by one thread: what remains is measured anew,
 * since backend servers may have been ejected or begun to leave. Paths avoided
 * here remain a last resort. Cheap while no path is avoided.
 */
void bb_balance_filter_paths(struct bb_balance *b, const struct bb_paths *paths,
			     bool keep_floor, int64_t now_us);

/**
 * bb_balance_set_leaving() - apply the list of leaving hosts.
 * @b: balance
 * @host: handle of a host in the snapshot
 * @leaving: its backend servers get no new requests
 *
 * Carried over to the next snapshot; call again when the list changes.
 */
void bb_balance_set_leaving(struct bb_balance *b, uint32_t host, bool leaving);

/**
 * bb_path_release() - a request on the path has ended in whichever way.
 * @path: of the choice
 */
void bb_path_release(struct bb_path *path);

/**
 * bb_path_in_flight() - own requests in flight on a path.
 * @path: the path
 *
 * Return: number of requests.
 */
uint32_t bb_path_in_flight(const struct bb_path *path);

#ifdef __cplusplus
}
#endif
#endif
