/*
 * Health of the backend servers beside one node: detects failing ones from the
 * outcomes of requests and probes, and ejects them within the floor.
 *
 * Outcomes are kept per backend server and route class. Error counts and the
 * number of slow responses are each tested against what the rest of the pool
 * shows at the same time (binomial tail), with the client account that
 * contributes most of the failures left out. Pure decision module: the caller
 * passes the time, sends the probes that it is asked for and carries the pool
 * summaries between nodes.
 */
#ifndef BAOBABWARD_HEALTH_H
#define BAOBABWARD_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Route classes of a service, and one more for probes. */
#define BB_HEALTH_ROUTE_CLASSES 4
#define BB_HEALTH_CLASS_PROBE BB_HEALTH_ROUTE_CLASSES
#define BB_HEALTH_CLASSES (BB_HEALTH_ROUTE_CLASSES + 1)
/* Length of a reason text in bytes, with the NUL. */
#define BB_HEALTH_REASON_SIZE 192
/* Account of a probe. */
#define BB_HEALTH_NO_ACCOUNT UINT32_MAX

/**
 * enum bb_health_state - state of a backend server at its adjacent node.
 * @BB_HEALTH_OK: gets work
 * @BB_HEALTH_SUSPECT: gets work, evidence is being confirmed
 * @BB_HEALTH_EJECTED: gets no work until the hold-off ends
 * @BB_HEALTH_TRIAL: gets single idempotent requests and probes
 * @BB_HEALTH_RAMPING: gets work with a weight that grows
 * @BB_HEALTH_BACKING_OFF: sheds load; gets less work for a short time
 */
enum bb_health_state {
	BB_HEALTH_OK,
	BB_HEALTH_SUSPECT,
	BB_HEALTH_EJECTED,
	BB_HEALTH_TRIAL,
	BB_HEALTH_RAMPING,
	BB_HEALTH_BACKING_OFF,
	BB_HEALTH_STATE_COUNT
};

extern const char *const bb_health_state_string[];

/**
 * enum bb_outcome_kind - how a request to a backend server ended.
 * @BB_OUTCOME_OK: complete response, 1xx to 3xx
 * @BB_OUTCOME_ERROR: complete response, 5xx other than 503
 * @BB_OUTCOME_CONNECT_FAILURE: no connection
 * @BB_OUTCOME_TIMEOUT: no complete response before the deadline
 * @BB_OUTCOME_TRUNCATED: response cut off
 * @BB_OUTCOME_SHED: 503
 * @BB_OUTCOME_CLIENT_ERROR: 4xx
 * @BB_OUTCOME_SILENT_CONNECTION: an existing connection went silent and was closed
 */
enum bb_outcome_kind {
	BB_OUTCOME_OK,
	BB_OUTCOME_ERROR,
	BB_OUTCOME_CONNECT_FAILURE,
	BB_OUTCOME_TIMEOUT,
	BB_OUTCOME_TRUNCATED,
	BB_OUTCOME_SHED,
	BB_OUTCOME_CLIENT_ERROR,
	BB_OUTCOME_SILENT_CONNECTION,
	BB_OUTCOME_KIND_COUNT
};

extern const char *const bb_outcome_kind_string[];

/**
 * struct bb_health_outcome - outcome of one request or probe.
 * @backend: handle in the present configuration
 * @class_id: route class, or BB_HEALTH_CLASS_PROBE
 * @account: number of the client account that stays the same over
 *           configurations, such as a hash of its name; BB_HEALTH_NO_ACCOUNT
 *           for probes
 * @kind: how it ended
 * @latency_us: from sending to the end; for timeouts the time waited
 * @new_connection: the connection was made for this request
 * @opened_us: when the connection was opened, 0 if unknown or if the request
 *             had to open one
 */
struct bb_health_outcome {
	uint32_t backend;
	uint32_t class_id;
	uint32_t account;
	enum bb_outcome_kind kind;
	int64_t latency_us;
	int64_t opened_us;
	bool new_connection;
};

/**
 * struct bb_pool_summary - what one node tells of one of its backend servers.
 * @backend: handle
 * @class_id: route class, or BB_HEALTH_CLASS_PROBE
 * @samples: outcomes summarized, at most 64
 * @error_permille: share of failed outcomes
 * @median_us: median latency of the latest outcomes
 * @spread_us: distance between the median and the 84th percentile
 * @recent_age_ms: age of the oldest of the latest three outcomes; the median follows
 *          a change within these three
 *
 * At most 22 bytes in MessagePack when the backend server is sent once for all
 * of its classes.
 */
struct bb_pool_summary {
	uint32_t backend;
	uint32_t class_id;
	uint32_t samples;
	uint32_t error_permille;
	uint32_t median_us;
	uint32_t spread_us;
	uint32_t recent_age_ms;
};

/**
 * struct bb_health_withheld_action - an action withheld while automation is off.
 * @backend: handle
 * @state: state that it would have moved to
 * @at_us: when it was first due
 * @reason: evidence with figures
 */
struct bb_health_withheld_action {
	uint32_t backend;
	enum bb_health_state state;
	int64_t at_us;
	char reason[BB_HEALTH_REASON_SIZE];
};

/**
 * struct bb_health_options - surroundings of a bb_health.
 * @host: handle of this host
 * @permit_until: time until which @backend may be ejected, not after @now_us
 *                if it may not; with @want the permit is asked for and renewed,
 *                without it is given back; bb_permits_acquire_or_release() fits
 * @data: passed to @permit_until
 * @observe_only: backend servers become suspect but are never ejected
 * @trial_probes_only: no probes but in the trial state, for backend servers
 *                     whose health endpoint misleads
 */
struct bb_health_options {
	uint32_t host;
	int64_t (*permit_until)(void *data, const char *service,
				const char *backend, bool want, int64_t now_us);
	void *data;
	bool observe_only;
	bool trial_probes_only;
};

/**
 * struct bb_health - health of the backend servers beside this node.
 */
struct bb_health;

/**
 * bb_health_new() - create without backend servers.
 * @options: copied
 *
 * Return: object for bb_health_delete(); never NULL.
 */
struct bb_health *bb_health_new(const struct bb_health_options *options);

/**
 * bb_health_delete() - free.
 * @h: object, may be NULL
 */
void bb_health_delete(struct bb_health *h);

/**
 * bb_health_set_leaving() - the platform takes this host away, or no more.
 * @h: object
 * @leaving: all backend servers beside this node count as leaving
 * @now_us: clock
 *
 * Kept over changes of the configuration.
 */
void bb_health_set_leaving(struct bb_health *h, bool leaving, int64_t now_us);

/**
 * bb_health_set_config() - use another configuration.
 * @h: object
 * @c: configuration, used during the call only
 * @now_us: clock
 *
 * Backend servers beside this node keep their state by name. One that was out
 * and is in again starts with a ramp.
 */
void bb_health_set_config(struct bb_health *h, const struct bb_config *c,
			  int64_t now_us);

/**
 * bb_health_observe() - take in an outcome.
 * @h: object
 * @o: the outcome; of a backend server not beside this node it is ignored
 * @now_us: clock
 */
void bb_health_observe(struct bb_health *h, const struct bb_health_outcome *o,
		       int64_t now_us);

/**
 * bb_health_hint() - the backend server's own health endpoint.
 * @h: object
 * @backend: handle
 * @healthy: what it says of itself
 * @now_us: clock
 *
 * The endpoints are late or wrong, so that a bad answer causes a probe and a
 * good one changes nothing.
 */
void bb_health_hint(struct bb_health *h, uint32_t backend, bool healthy,
		    int64_t now_us);

/**
 * bb_health_probe_due() - next backend server to probe, always on a new
 * connection.
 * @h: object
 * @now_us: clock
 *
 * The probe counts as sent; its outcome goes to bb_health_observe().
 *
 * Return: handle, or BB_NO_ROW when none is due.
 */
uint32_t bb_health_probe_due(struct bb_health *h, int64_t now_us);

/**
 * bb_health_tick() - move states with time; call every 100 ms or so.
 * @h: object
 * @now_us: clock
 */
void bb_health_tick(struct bb_health *h, int64_t now_us);

/**
 * bb_health_admit() - may a request be sent to a backend server now?
 * @h: object
 * @backend: handle
 * @idempotent: the request may be used as a trial
 * @now_us: clock
 *
 * A true answer in the trial state counts as a trial sent, whose outcome must
 * follow through bb_health_observe().
 */
bool bb_health_admit(struct bb_health *h, uint32_t backend, bool idempotent,
		     int64_t now_us);

/**
 * bb_health_state() - present state.
 * @h: object
 * @backend: handle
 * @now_us: clock
 *
 * Return: the state, BB_HEALTH_OK for one that is not beside this node.
 */
enum bb_health_state bb_health_state(const struct bb_health *h,
				     uint32_t backend, int64_t now_us);

/**
 * bb_health_reason() - why it is in its state, with figures.
 * @h: object
 * @backend: handle
 *
 * Return: text owned by @h until the next call, empty if there is nothing.
 */
const char *bb_health_reason(const struct bb_health *h, uint32_t backend);

/**
 * bb_health_avoid_for_us() - value for struct bb_load @avoid_for_us.
 * @h: object
 * @backend: handle
 * @now_us: clock
 *
 * Return: remaining hold-off or back-off, 0 if there is none.
 */
int64_t bb_health_avoid_for_us(const struct bb_health *h, uint32_t backend,
			       int64_t now_us);

/**
 * bb_health_weight() - factor for the published weight.
 * @h: object
 * @backend: handle
 * @now_us: clock
 *
 * Return: 0 while ejected or in trial, 0.2 to 1 otherwise. A preference of
 * the load balancing: requests are still admitted while it is below 1. Entry
 * nodes learn it when struct bb_load @slots is multiplied by it.
 */
double bb_health_weight(const struct bb_health *h, uint32_t backend,
			int64_t now_us);

/**
 * bb_health_withheld_actions() - actions withheld since automation was turned off.
 * @h: object
 * @nr: set to their number
 *
 * Return: array owned by @h until the next call.
 */
const struct bb_health_withheld_action *
bb_health_withheld_actions(const struct bb_health *h, size_t *nr);

/**
 * bb_health_pool_summary() - summaries for the other nodes of a service.
 * @h: object
 * @service: handle
 * @out: filled in
 * @max: room in @out
 * @now_us: clock
 *
 * With few requests, a question soon after another makes it send probes, so
 * that the node that suspects another backend server can compare with them.
 *
 * Return: number of summaries written.
 */
size_t bb_health_pool_summary(struct bb_health *h, uint32_t service,
			      struct bb_pool_summary *out, size_t max,
			      int64_t now_us);

/**
 * bb_health_set_pool_summary() - take in a summary of another node.
 * @h: object
 * @s: the summary; ignored if its backend server is beside this node
 * @now_us: clock
 */
void bb_health_set_pool_summary(struct bb_health *h,
				const struct bb_pool_summary *s,
				int64_t now_us);

/**
 * bb_health_summary_due() - backend server whose node is to be asked for a
 * summary next.
 * @h: object
 * @now_us: clock
 *
 * One for each service in 10 s while nothing is suspected; all members of the
 * pool, at most 8, each second while one is.
 *
 * Return: handle of a backend server of another node, or BB_NO_ROW.
 */
uint32_t bb_health_summary_due(struct bb_health *h, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
