/*
 * Network paths from an entry node to adjacent nodes: avoids hosts that do not
 * answer, as long as the floor of each pool remains usable. A pool is the
 * backend servers of a service; its floor is the share of capacity that must
 * remain.
 *
 * Only missing answers count. Failures of a backend server are handled by its
 * adjacent node, which answers and reports them. Each entry node judges its own
 * paths, so that a partition in one direction affects the choices of only those
 * nodes that it cuts off.
 */
#ifndef BAOBABWARD_PATH_H
#define BAOBABWARD_PATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_path_candidate - a backend server of a pool in bb_paths_filter().
 * @host: handle of its host
 * @weight: its capacity
 * @ineligible: it gets no requests for another reason (ejected, leaving);
 *              counts in the total of the pool, not in what remains
 */
struct bb_path_candidate {
	uint32_t host;
	double weight;
	bool ineligible;
};

/**
 * struct bb_paths - the paths of one entry node.
 */
struct bb_paths;

/**
 * bb_paths_new() - create with all paths usable.
 * @hosts_nr: number of hosts in the configuration
 *
 * Return: object for bb_paths_delete(); never NULL.
 */
struct bb_paths *bb_paths_new(size_t hosts_nr);

/**
 * bb_paths_carry_over() - create the paths of a new list of hosts.
 * @old: paths of the previous list, freed by this call; may be NULL
 * @from: for each host of the new list its handle in the previous one, or
 *        UINT32_MAX
 * @hosts_nr: number of hosts in the new list
 *
 * Return: object for bb_paths_delete(); hosts that are in both lists keep their
 * state.
 */
struct bb_paths *bb_paths_carry_over(struct bb_paths *old, const uint32_t *from,
				     size_t hosts_nr);

/**
 * bb_paths_delete() - free.
 * @p: object, may be NULL
 */
void bb_paths_delete(struct bb_paths *p);

/**
 * bb_paths_record_answer() - a RESULT, or with @hello a WELCOME, arrived.
 * @p: object
 * @host: host handle
 * @hello: the answer is a WELCOME, which answers HELLO
 * @now_us: clock
 */
void bb_paths_record_answer(struct bb_paths *p, uint32_t host, bool hello,
			    int64_t now_us);

/**
 * bb_paths_record_timeout() - a request or HELLO got no answer in time.
 * @p: object
 * @host: host handle
 * @sent_us: when it was sent; ignored if a RESULT arrived since
 * @now_us: clock
 */
void bb_paths_record_timeout(struct bb_paths *p, uint32_t host, int64_t sent_us,
			     int64_t now_us);

/**
 * bb_paths_hello_due() - next host to probe with HELLO.
 * @p: object
 * @now_us: clock
 *
 * The HELLO counts as sent; if no answer arrives within 1 s, the caller calls
 * bb_paths_record_timeout().
 *
 * Return: host handle, or UINT32_MAX.
 */
uint32_t bb_paths_hello_due(struct bb_paths *p, int64_t now_us);

/**
 * bb_paths_avoided() - whether a path is avoided, before the floor is applied.
 * @p: object
 * @host: host handle
 * @now_us: clock
 */
bool bb_paths_avoided(const struct bb_paths *p, uint32_t host, int64_t now_us);

/**
 * bb_paths_any_avoided() - quick check whether any path may be avoided.
 * @p: object
 * @now_us: clock
 *
 * Return: false if none is; may stay true for a while after the last avoided
 * path is used again.
 */
bool bb_paths_any_avoided(const struct bb_paths *p, int64_t now_us);

/**
 * bb_paths_filter() - choose the members of a pool to avoid, within the floor.
 * @p: object
 * @c: all members of the pool
 * @nr: number of members
 * @floor_percent: share of the total weight that must remain
 * @avoid: set to whether each member is avoided
 * @now_us: clock
 *
 * The paths that have not answered for longest are avoided first. A member
 * without which less than the floor would remain stays in use.
 *
 * Return: total weight of the members that stay in use.
 */
double bb_paths_filter(const struct bb_paths *p,
		       const struct bb_path_candidate *c, size_t nr,
		       uint32_t floor_percent, bool *avoid, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
