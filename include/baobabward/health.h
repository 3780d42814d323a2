/*
 * Health of the backend servers beside one node: detects failing and slow ones
 * from the outcomes of requests and probes, and ejects them as far as the floor
 * allows, the share of a service's capacity that must remain (permit.h).
 *
 * Outcomes are kept per backend server and route class. The numbers of failures
 * and of slow responses are each tested against those of the rest of the pool,
 * the backend servers of the same service, at the same time (binomial tail).
 * The client account with most of the failures is left out, so that one
 * account's requests cannot eject a backend server.
 *
 * No I/O: the caller passes the time, sends the probes that are due and carries
 * the pool summaries between nodes.
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
/* Size of a reason text in bytes, including the NUL. */
#define BB_HEALTH_REASON_SIZE 192
/* Account of a probe. */
#define BB_HEALTH_NO_ACCOUNT UINT32_MAX

/**
 * enum bb_health_state - state of a backend server at its adjacent node.
 * @BB_HEALTH_OK: gets requests
 * @BB_HEALTH_SUSPECT: gets requests while evidence against it is confirmed
 * @BB_HEALTH_EJECTED: gets no requests until the hold-off ends
 * @BB_HEALTH_TRIAL: gets probes and one idempotent request at a time
 * @BB_HEALTH_RAMPING: gets requests with a weight that grows
 * @BB_HEALTH_BACKING_OFF: sheds load; gets fewer requests for a short time
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
 * @BB_OUTCOME_CONNECT_FAILURE: no connection could be opened
 * @BB_OUTCOME_TIMEOUT: no complete response before the deadline
 * @BB_OUTCOME_TRUNCATED: response cut off
 * @BB_OUTCOME_SHED: 503, the backend server sheds load
 * @BB_OUTCOME_CLIENT_ERROR: 4xx
 * @BB_OUTCOME_SILENT_CONNECTION: an existing connection stopped responding and
 *                                was closed
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
 * @backend: handle in the current configuration
 * @class_id: route class, or BB_HEALTH_CLASS_PROBE
 * @account: identifies the client account over changes of the configuration,
 *           such as a hash of its name; BB_HEALTH_NO_ACCOUNT for probes
 * @kind: how the request ended
 * @latency_us: from sending to the end; for timeouts the time waited
 * @opened_us: when the connection was opened; 0 if unknown or if the request
 *             had to open one
 * @new_connection: the connection was opened for this request
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
 * struct bb_pool_summary - latest outcomes of a backend server, as its adjacent
 * node sends them to other nodes.
 * @backend: handle
 * @class_id: route class, or BB_HEALTH_CLASS_PROBE
 * @samples: number of outcomes summarized, at most 64
 * @error_permille: share of failed outcomes
 * @median_us: median latency of the latest outcomes
 * @spread_us: distance between the median and the 84th percentile of latency
 * @recent_age_ms: age of the oldest of the latest three outcomes; a change
 *                 shows in the median within three outcomes
 *
 * At most 22 bytes in MessagePack when the handle of the backend server is sent
 * once for all of its classes.
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
 * struct bb_health_withheld_action - a change of state that was not made
 * because automation is off.
 * @backend: handle
 * @state: state that the backend server would have moved to
 * @at_us: when the action was first due
 * @reason: evidence with figures
 */
struct bb_health_withheld_action {
	uint32_t backend;
	enum bb_health_state state;
	int64_t at_us;
	char reason[BB_HEALTH_REASON_SIZE];
};

/**
 * struct bb_health_options - options and callbacks of a bb_health.
 * @host: handle of this host
 * @permit_until: returns the time until which @backend may be ejected, not
 *                after @now_us if it may not be; with @want the permit is
 *                requested and renewed, else returned.
 *                bb_permits_acquire_or_release() has this type.
 * @data: passed to @permit_until
 * @observe_only: backend servers become suspect but are never ejected
 * @trial_probes_only: probes are sent in the trial state only, for backend
 *                     servers whose health endpoint gives misleading answers
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
 * bb_health_set_leaving() - set whether the platform is removing this host.
 * @h: object
 * @leaving: whether all backend servers beside this node count as leaving
 * @now_us: clock
 *
 * Stays in force over changes of the configuration.
 */
void bb_health_set_leaving(struct bb_health *h, bool leaving, int64_t now_us);

/**
 * bb_health_set_config() - use another configuration.
 * @h: object
 * @c: configuration, used during the call only
 * @now_us: clock
 *
 * Backend servers beside this node keep their state by name. One that has
 * started again, by its @started_ms, counts as new, at most once in 30 s. One
 * whose configured state was leaving or out and is in again starts with a ramp.
 */
void bb_health_set_config(struct bb_health *h, const struct bb_config *c,
			  int64_t now_us);

/**
 * bb_health_observe() - record an outcome.
 * @h: object
 * @o: the outcome; ignored if its backend server is not beside this node
 * @now_us: clock
 */
void bb_health_observe(struct bb_health *h, const struct bb_health_outcome *o,
		       int64_t now_us);

/**
 * bb_health_hint() - record the answer of a backend server's health endpoint.
 * @h: object
 * @backend: handle
 * @healthy: whether the endpoint reports that it is healthy
 * @now_us: clock
 *
 * Health endpoints can be late or wrong, so that an unhealthy answer only
 * causes a probe and a healthy one changes nothing.
 */
void bb_health_hint(struct bb_health *h, uint32_t backend, bool healthy,
		    int64_t now_us);

/**
 * bb_health_probe_due() - next backend server to probe, always on a new
 * connection.
 * @h: object
 * @now_us: clock
 *
 * The probe counts as sent; the caller passes its outcome to
 * bb_health_observe().
 *
 * Return: handle, or BB_NO_ROW when none is due.
 */
uint32_t bb_health_probe_due(struct bb_health *h, int64_t now_us);

/**
 * bb_health_tick() - make the changes of state that are due; call about every
 * 100 ms.
 * @h: object
 * @now_us: clock
 */
void bb_health_tick(struct bb_health *h, int64_t now_us);

/**
 * bb_health_admit() - whether a request may be sent to a backend server now.
 * @h: object
 * @backend: handle
 * @idempotent: the request may be used as a trial
 * @now_us: clock
 *
 * If it returns true in the trial state, the request counts as a trial, and the
 * caller must pass its outcome to bb_health_observe().
 */
bool bb_health_admit(struct bb_health *h, uint32_t backend, bool idempotent,
		     int64_t now_us);

/**
 * bb_health_state() - current state of a backend server.
 * @h: object
 * @backend: handle
 * @now_us: clock
 *
 * Return: the state, BB_HEALTH_OK for one that is not beside this node.
 */
enum bb_health_state bb_health_state(const struct bb_health *h,
				     uint32_t backend, int64_t now_us);

/**
 * bb_health_reason() - why a backend server is in its state, with figures.
 * @h: object
 * @backend: handle
 *
 * Return: text owned by @h until the next call, empty if there is no reason.
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
 * bb_health_weight() - factor for the published weight of a backend server.
 * @h: object
 * @backend: handle
 * @now_us: clock
 *
 * The factor is a preference for load balancing: requests are still admitted
 * while it is below 1. The caller multiplies struct bb_load @slots by it to
 * publish it to entry nodes.
 *
 * Return: 0 while ejected or in trial, 0.2 to 1 otherwise.
 */
double bb_health_weight(const struct bb_health *h, uint32_t backend,
			int64_t now_us);

/**
 * bb_health_withheld_actions() - actions withheld since automation was turned
 * off.
 * @h: object
 * @nr: set to the number of actions
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
 * @max: number of summaries for which @out has room
 * @now_us: clock
 *
 * If a backend server has few requests and its summaries are requested twice in
 * short succession, it is probed more often, so that the requesting node, which
 * suspects another backend server, can compare with outcomes of the same time.
 *
 * Return: number of summaries written.
 */
size_t bb_health_pool_summary(struct bb_health *h, uint32_t service,
			      struct bb_pool_summary *out, size_t max,
			      int64_t now_us);

/**
 * bb_health_set_pool_summary() - store a summary from another node.
 * @h: object
 * @s: the summary; ignored if its backend server is beside this node
 * @now_us: clock
 */
void bb_health_set_pool_summary(struct bb_health *h,
				const struct bb_pool_summary *s,
				int64_t now_us);

/**
 * bb_health_summary_due() - next backend server whose node is to be asked for
 * summaries.
 * @h: object
 * @now_us: clock
 *
 * While no backend server is suspect, one member of each pool is due every
 * 10 s; while one is, all members of its pool, at most 8, are due each second.
 *
 * Return: handle of a backend server of another node, or BB_NO_ROW.
 */
uint32_t bb_health_summary_due(struct bb_health *h, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
