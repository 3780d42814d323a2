/*
 * Health monitor of the backend servers of this host, on the control thread:
 * passes the outcomes of requests and probes to the failure detection
 * (health.h) and reports changes of the health of the backend servers.
 */
#ifndef BB_NODE_HEALTH_MONITOR_H
#define BB_NODE_HEALTH_MONITOR_H

#include <glib.h>
#include <jansson.h>

#include "baobabward/health.h"
#include "baobabward/permit.h"
#include "libnode/control.h"

struct bb_health_monitor;

/**
 * struct bb_health_monitor_options - options and callbacks.
 * @context: main context of the control thread
 * @permits: of this node
 * @health_changed: reports a change; the callee takes ownership of it
 * @data: passed to @health_changed
 * @observe_only: see struct bb_health_options
 * @trial_probes_only: see struct bb_health_options
 * @send: sends requests for pool summaries and the replies to them
 * @send_data: passed to @send
 */
struct bb_health_monitor_options {
	GMainContext *context;
	struct bb_permits *permits;
	void (*health_changed)(void *data, struct bb_backend_health *g);
	void *data;
	bool observe_only;
	bool trial_probes_only;
	bb_send_fn *send;
	void *send_data;
};

struct bb_health_monitor *
bb_health_monitor_new(const struct bb_health_monitor_options *o,
		      struct bb_error *err);
void bb_health_monitor_configure(struct bb_health_monitor *hm,
				 struct bb_snapshot *snapshot, int64_t now_us);

/**
 * bb_health_monitor_set_leaving() - set whether this host is leaving by order
 *				     of the platform.
 */
void bb_health_monitor_set_leaving(struct bb_health_monitor *hm, bool leaving,
				   int64_t now_us);

/**
 * bb_health_monitor_observe() - process an outcome from the traffic thread and
 *				 free it.
 */
void bb_health_monitor_observe(struct bb_health_monitor *hm,
			       struct bb_observation *o, int64_t now_us);

/**
 * bb_health_monitor_receive() - handle a SUMMARY_REQUEST or SUMMARY.
 * @hm: monitor
 * @from: host that sent it
 * @m: the message
 * @now_us: current time
 */
void bb_health_monitor_receive(struct bb_health_monitor *hm, uint32_t from,
			       const struct bb_message *m, int64_t now_us);
void bb_health_monitor_tick(struct bb_health_monitor *hm, int64_t now_us);

/**
 * bb_health_monitor_status() - state of the backend servers of this host for
 *				operators, as a JSON array.
 */
json_t *bb_health_monitor_status(struct bb_health_monitor *hm, int64_t now_us);
void bb_health_monitor_delete(struct bb_health_monitor *hm);

#endif
