/*
 * Expected cost of requests: the time in a slot that a request is likely to
 * need, learned from the requests that ran before.
 *
 * Load pattern: requests that look alike cost very different amounts of work,
 * some kinds have a heavy tail, and the cost of a kind changes during the day.
 * A node sees few requests of each kind, because a fleet of 95 nodes shares the
 * kinds.
 *
 * A kind is what a request shows: service, route, method, size class of the body
 * and account. Each level of this list has a distribution with decay. A level
 * counts according to its number of samples; the rest falls to the next coarser
 * one, and in the end to the service. So an unknown kind has the mean of its
 * service, and a rare one is near it.
 *
 * Costs are times on a backend server of mean speed: a sample of a slow server
 * is scaled by its speed relative to the mean speed of the service. Only the
 * relative speed counts, so that a change that affects all servers alike changes
 * the costs and not the speeds.
 *
 * No I/O; all times are microseconds of the caller's clock. Not thread safe.
 */
#ifndef BAOBABWARD_COST_H
#define BAOBABWARD_COST_H

#include <stddef.h>
#include <stdint.h>

#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Buckets of a distribution: two for each doubling, from 1 ms to 65 s. */
#define BB_COST_BUCKETS 32
/* Limits on the speed of a backend server, in thousandths. A measured speed
 * outside of them counts as the limit. */
#define BB_SPEED_MIN_PERMILLE 250
#define BB_SPEED_MAX_PERMILLE 4000

/**
 * struct bb_cost_dist - distribution of a time, with decay; zero it before first
 * use.
 * @weight: weight of the samples in each bucket
 * @total: weight of all samples, at most 32
 * @sum_us: sum of the weighted samples
 * @updated_us: time of the last sample
 */
struct bb_cost_dist {
	float weight[BB_COST_BUCKETS];
	double total;
	double sum_us;
	int64_t updated_us;
};

/**
 * bb_cost_dist_add() - add a sample.
 * @d: distribution
 * @us: the sample
 * @now_us: current time
 */
void bb_cost_dist_add(struct bb_cost_dist *d, int64_t us, int64_t now_us);

/**
 * bb_cost_dist_mean_us() - mean of a distribution, 0 if it is empty.
 */
int64_t bb_cost_dist_mean_us(const struct bb_cost_dist *d);

/**
 * bb_cost_dist_quantile_us() - upper end of the bucket that has a quantile.
 * @d: distribution
 * @p: the quantile, above 0 and at most 1
 *
 * Return: time, 0 if the distribution is empty.
 */
int64_t bb_cost_dist_quantile_us(const struct bb_cost_dist *d, double p);

/**
 * bb_cost_dist_remaining_us() - expected remaining time given the age.
 * @d: distribution of the whole time
 * @age_us: time since the start
 *
 * An age above all samples is expected to last as long as a quarter of it again.
 *
 * Return: time, 0 if the distribution is empty.
 */
int64_t bb_cost_dist_remaining_us(const struct bb_cost_dist *d, int64_t age_us);

/**
 * struct bb_cost_kind - what a request shows of its cost.
 * @service: name of its service
 * @route: name of its route
 * @method: its method
 * @account: name of its client account, may be empty
 * @body_bytes: size of its body
 */
struct bb_cost_kind {
	struct bb_bytes service;
	struct bb_bytes route;
	struct bb_bytes method;
	struct bb_bytes account;
	size_t body_bytes;
};

/**
 * struct bb_cost_sample - a request that ran.
 * @service_us: its time in a slot, 0 if unknown
 * @speed_permille: speed of the backend server, 0 if unknown
 * @response_bytes: size of its response
 */
struct bb_cost_sample {
	int64_t service_us;
	uint32_t speed_permille;
	uint64_t response_bytes;
};

/**
 * struct bb_cost_estimate - what is expected of a request.
 * @mean_us: mean time in a slot of a backend server of mean speed, 0 if nothing
 *           is known of the service
 * @tail_us: time that nine in ten such requests stay below
 * @service_mean_us: mean time of all requests of the service
 * @response_bytes: mean size of the response
 */
struct bb_cost_estimate {
	int64_t mean_us;
	int64_t tail_us;
	int64_t service_mean_us;
	uint64_t response_bytes;
};

struct bb_cost;

/**
 * bb_cost_new() - make an empty model.
 * @max_kinds: limit on the distributions that are kept, 0 for 2,048; one takes
 *             about 250 bytes. The least recently used ones are dropped.
 *
 * Return: model that the caller deletes.
 */
struct bb_cost *bb_cost_new(size_t max_kinds);

/**
 * bb_cost_delete() - free a model.
 * @c: model, may be NULL
 */
void bb_cost_delete(struct bb_cost *c);

/**
 * bb_cost_learn() - add a request that ran without an error of the server.
 * @c: model
 * @kind: what the request showed
 * @s: what it cost
 * @now_us: current time
 */
void bb_cost_learn(struct bb_cost *c, const struct bb_cost_kind *kind,
		   const struct bb_cost_sample *s, int64_t now_us);

/**
 * bb_cost_expect() - expected cost of a request.
 * @c: model
 * @kind: what the request shows
 */
struct bb_cost_estimate bb_cost_expect(struct bb_cost *c,
				       const struct bb_cost_kind *kind);

/**
 * bb_cost_kinds() - number of distributions that are kept.
 */
size_t bb_cost_kinds(const struct bb_cost *c);

/**
 * struct bb_server_cost - what the adjacent node learns of one backend server;
 * zero it before first use.
 * @shape: distribution of the time of requests relative to the expected time,
 *         which is 100 ms here
 * @expected_us: expected time of the requests that ran, with decay
 * @took_us: time that they took
 * @requests: their number, with the same decay
 * @updated_us: time of the last one
 */
struct bb_server_cost {
	struct bb_cost_dist shape;
	double expected_us;
	double took_us;
	double requests;
	int64_t updated_us;
};

/**
 * bb_server_cost_finished() - a request ran without an error of the server.
 * @s: backend server
 * @cost_us: its expected time on a server of mean speed
 * @took_us: time that it took
 * @now_us: current time
 */
void bb_server_cost_finished(struct bb_server_cost *s, int64_t cost_us,
			     int64_t took_us, int64_t now_us);

/**
 * bb_server_cost_speed() - speed of a backend server.
 * @s: backend server
 * @now_us: current time
 *
 * Without recent requests the speed returns to 1000.
 *
 * Return: thousandths, BB_SPEED_MIN_PERMILLE to BB_SPEED_MAX_PERMILLE.
 */
uint32_t bb_server_cost_speed(const struct bb_server_cost *s, int64_t now_us);

/**
 * bb_server_cost_remaining_us() - expected remaining time of a request.
 * @s: backend server
 * @cost_us: its expected time on a server of mean speed
 * @age_us: time since its start, negative if it waits
 * @now_us: current time
 */
int64_t bb_server_cost_remaining_us(const struct bb_server_cost *s,
				    int64_t cost_us, int64_t age_us,
				    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
