/*
 * Listening socket of the callers with a thread that accepts. libmicrohttpd's
 * own one is not used: when it is taken away at a planned stop, version 0.9.75
 * lets the caller and a worker both remove it from the worker's epoll set, and
 * aborts the process when the second removal fails.
 */
#ifndef BB_NODE_LISTENER_H
#define BB_NODE_LISTENER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "baobabward/error.h"

struct bb_listener;

/**
 * struct bb_listener_options - options of a listener.
 * @address: IP number to listen on
 * @port: TCP port, 0 for any
 * @accepted: takes over a connected, non-blocking socket
 * @at_limit: whether connections have to wait; asked before each is accepted
 * @data: handed to the callbacks, which run on the listener's thread, and in
 *        bb_listener_drain() on that of its caller
 */
struct bb_listener_options {
	const char *address;
	uint16_t port;
	void (*accepted)(void *data, int fd, const struct sockaddr *sa,
			 socklen_t size);
	bool (*at_limit)(void *data);
	void *data;
};

/**
 * bb_listener_new() - listen and start to accept.
 * @o: options; the strings are not referred to afterwards
 * @err: filled in on failure
 *
 * Return: listener, or NULL.
 */
struct bb_listener *bb_listener_new(const struct bb_listener_options *o,
				    struct bb_error *err);

/**
 * bb_listener_port() - port that it listens on.
 * @l: listener
 */
uint16_t bb_listener_port(const struct bb_listener *l);

/**
 * bb_listener_drain() - stop to listen, but take what has been connected.
 * @l: listener
 *
 * Closing a listening socket resets connections that wait to be accepted,
 * though their callers may have sent a request.
 *
 * Return: whether any connection waited.
 */
bool bb_listener_drain(struct bb_listener *l);

/**
 * bb_listener_delete() - drain and free.
 * @l: listener, may be NULL
 */
void bb_listener_delete(struct bb_listener *l);

#endif
