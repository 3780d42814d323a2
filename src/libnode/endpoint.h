/*
 * A transport attached to the GLib main loop of a thread, which receives each
 * message in a callback on that thread.
 */
#ifndef BB_NODE_ENDPOINT_H
#define BB_NODE_ENDPOINT_H

#include <glib.h>

#include "baobabward/transport.h"

struct bb_endpoint;

/**
 * bb_endpoint_new() - bind a transport and attach it to a main loop.
 * @o: options of the transport
 * @context: main context of the thread
 * @receive: called for each message, which it takes over
 * @data: passed to @receive
 * @err: set on failure
 */
struct bb_endpoint *
bb_endpoint_new(const struct bb_transport_options *o, GMainContext *context,
		void (*receive)(void *data, struct bb_received_message *r),
		void *data, struct bb_error *err);

/**
 * bb_endpoint_transport() - the transport, which the endpoint owns.
 */
struct bb_transport *bb_endpoint_transport(struct bb_endpoint *p);

/**
 * bb_endpoint_configure() - set the peers to the hosts of a configuration.
 * @p: endpoint
 * @config: configuration
 * @control: connect to the control ports instead of the data ports
 * @err: set on failure
 */
struct bb_config;
int bb_endpoint_configure(struct bb_endpoint *p, const struct bb_config *config,
			  bool control, struct bb_error *err);

/**
 * bb_endpoint_delete() - detach from the loop, close the transport and free.
 * @p: endpoint, may be NULL
 */
void bb_endpoint_delete(struct bb_endpoint *p);

#endif
