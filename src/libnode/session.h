/*
 * What the entry node knows of the other nodes: their incarnation and a lower
 * bound of their clock, from HELLO and WELCOME.
 */
#ifndef BB_NODE_SESSION_H
#define BB_NODE_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/wire.h"

/**
 * struct bb_session - one other node.
 * @host: name of its host
 * @established: a WELCOME was received, the fields below are valid
 * @incarnation: of the node
 * @receiver_us: its clock when it sent WELCOME
 * @welcome_us: own clock when WELCOME arrived, so that the node's clock was
 *              at least @receiver_us then
 * @last_heard_us: when the last WELCOME or RESULT came, 0 for never
 * @silent: a HELLO was not answered and nothing was heard since
 * @hello_us: own clock when the last HELLO was sent, 0 when it was answered
 * @nonce: of the last HELLO
 */
struct bb_session {
	char *host;
	bool established;
	uint64_t incarnation;
	int64_t receiver_us;
	int64_t welcome_us;
	int64_t hello_us;
	int64_t last_heard_us;
	bool silent;
	int64_t used_us;
	uint64_t nonce;
};

struct bb_sessions;

struct bb_sessions *bb_sessions_new(void);

/**
 * bb_sessions_find() - session of a host, made on first use.
 */
struct bb_session *bb_sessions_find(struct bb_sessions *s, const char *host);

/**
 * bb_session_hello() - fill in a HELLO to send now.
 */
void bb_session_hello(struct bb_session *s, uint64_t incarnation,
		      uint64_t config_version, int64_t now_us,
		      struct bb_message *m);

/**
 * bb_session_welcome() - take over a WELCOME.
 *
 * Return: false if it does not answer the last HELLO.
 */
bool bb_session_welcome(struct bb_session *s,
			const struct bb_message_welcome *w, int64_t now_us);

/**
 * bb_session_not_after() - deadline in the receiver's clock.
 * @s: known session
 * @deadline_us: deadline in the own clock
 *
 * Errs early only: the receiver's clock was at least @receiver_us when
 * WELCOME arrived, and both clocks differ in speed by less than the margin.
 */
int64_t bb_session_not_after(const struct bb_session *s, int64_t deadline_us);

void bb_sessions_delete(struct bb_sessions *s);

#endif
