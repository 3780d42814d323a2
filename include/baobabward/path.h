/*
 * Paths from an entry node to adjacent nodes: avoids a host that does not
 * answer, without leaving less than the floor of a pool.
 *
 * Only missing answers count. A backend server that fails is the business of
 * its adjacent node, which answers and says so. Since each entry node judges
 * its own paths, a partition in one direction is avoided by the nodes that it
 * affects only.
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
 * struct bb_path_candidate - a backend server of a pool, for the floor.
 * @host: host handle
 * @weight: capacity
 * @ineligible: it gets no work anyway (ejected, leaving): counts in the total of the
 *        pool, not in what remains
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
 * bb_paths_new() - create.
 * @hosts_nr: number of hosts in the configuration
 *
 * Return: object for bb_paths_delete(); never NULL. All paths are usable.
 */
struct bb_paths *bb_paths_new(size_t hosts_nr);

/**
 * bb_paths_carry_over() - paths of another list of hosts.
 * @old: paths of the earlier list, freed here; may be NULL
 * @from: for each host of the new list its handle in the earlier one, or
 *        UINT32_MAX
 * @hosts_nr: number of hosts in the new list
 *
 * Return: object for bb_paths_delete(); hosts that are in both lists keep what
 * is known of them.
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
 * @hello: it was the answer to HELLO
 * @now_us: clock
 */
void bb_paths_record_answer(struct bb_paths *p, uint32_t host, bool hello,
			    int64_t now_us);

/**
 * bb_paths_record_timeout() - a request or HELLO got no answer in time.
 * @p: object
 * @host: host handle
 * @sent_us: when it was sent; it does not count if an answer came since
 * @now_us: clock
 */
void bb_paths_record_timeout(struct bb_paths *p, uint32_t host, int64_t sent_us,
			     int64_t now_us);

/**
 * bb_paths_hello_due() - next host to probe with HELLO.
 * @p: object
 * @now_us: clock
 *
 * The HELLO counts as sent; without an answer after 1 s the caller reports
 * bb_paths_record_timeout().
 *
 * Return: host handle, or UINT32_MAX.
 */
uint32_t bb_paths_hello_due(struct bb_paths *p, int64_t now_us);

/**
 * bb_paths_avoided() - is a path avoided, before the floor is applied?
 * @p: object
 * @host: host handle
 * @now_us: clock
 */
bool bb_paths_avoided(const struct bb_paths *p, uint32_t host, int64_t now_us);

/**
 * bb_paths_any_avoided() - is any path avoided?
 * @p: object
 * @now_us: clock
 *
 * Return: false if none is; it may be true for a while after the last one.
 */
bool bb_paths_any_avoided(const struct bb_paths *p, int64_t now_us);

/**
 * bb_paths_filter() - choose the members of a pool to avoid.
 * @p: object
 * @c: all members of the pool
 * @nr: number of members
 * @floor_percent: share of the total weight that must remain
 * @avoid: set for each member
 * @now_us: clock
 *
 * The paths that have been silent longest are avoided first; whatever would
 * go below the floor stays in use.
 *
 * Return: weight that remains.
 */
double bb_paths_filter(const struct bb_paths *p,
		       const struct bb_path_candidate *c, size_t nr,
		       uint32_t floor_percent, bool *avoid, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
