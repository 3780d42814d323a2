/*
 * Sessions of an entry node with the other nodes. The exchange of HELLO and
 * WELCOME gives the incarnation of a node and a lower bound of its clock, so
 * that a deadline in that clock is never later than the own deadline.
 */
#ifndef BB_NODE_SESSION_H
#define BB_NODE_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/wire.h"

/**
 * struct bb_session - session with one other node.
 * @host: name of its host
 * @established: a WELCOME was received; @incarnation, @receiver_us and
 *		 @welcome_us are valid
 * @incarnation: of the node
 * @receiver_us: the node's clock when it sent WELCOME
 * @welcome_us: own clock when WELCOME arrived; the node's clock was at least
 *		@receiver_us then
 * @hello_us: own clock when the last HELLO was sent, 0 when it was answered
 * @last_heard_us: own clock when the last WELCOME or RESULT arrived, 0 for
 *		   never
 * @stopping: the node said that it accepts no more requests, and no WELCOME has
 *	      arrived since
 * @silent: a HELLO was not answered, and nothing has arrived since
 * @small_bodies_until_us: own clock until which the node counts as one that takes
 *			   no bodies over BB_BODY_MAX, 0 for never
 * @nonce: of the last HELLO
 * @round_trip_us: time from the HELLO that the last WELCOME answered to that
 *                 WELCOME
 *
 * Clocks are in microseconds.
 */
struct bb_session {
	char *host;
	bool established;
	uint64_t incarnation;
	int64_t receiver_us;
	int64_t welcome_us;
	int64_t hello_us;
	int64_t last_heard_us;
	bool stopping;
	bool silent;
	int64_t small_bodies_until_us;
	uint64_t nonce;
	int64_t round_trip_us;
};

struct bb_sessions;

struct bb_sessions *bb_sessions_new(void);

/**
 * bb_sessions_find() - session with a host, created on first use.
 */
struct bb_session *bb_sessions_find(struct bb_sessions *s, const char *host);

/**
 * bb_session_hello() - fill in a HELLO that is sent at once.
 */
void bb_session_hello(struct bb_session *s, uint64_t incarnation,
		      uint64_t config_version, int64_t now_us,
		      struct bb_message *m);

/**
 * bb_session_welcome() - process a WELCOME.
 *
 * Return: false if it does not answer the last HELLO.
 */
bool bb_session_welcome(struct bb_session *s,
			const struct bb_message_welcome *w, int64_t now_us);

/**
 * bb_session_not_after() - convert a deadline to the receiver's clock.
 * @s: established session
 * @deadline_us: deadline in the own clock
 *
 * The result may be early, never late: the receiver's clock was at least
 * @receiver_us when WELCOME arrived, and the rates of both clocks differ by
 * less than the margin that is subtracted.
 */
int64_t bb_session_not_after(const struct bb_session *s, int64_t deadline_us);

/**
 * bb_session_age() - bounds of the time since the receiver's clock showed a
 * time.
 * @s: established session
 * @clock_us: that time
 * @now_us: own clock now
 * @min_us: set to the lower bound, at least 0
 * @max_us: set to the upper bound
 *
 * The receiver's clock showed @receiver_us at some time within the round trip
 * that ended when WELCOME arrived.
 */
void bb_session_age(const struct bb_session *s, int64_t clock_us,
		    int64_t now_us, int64_t *min_us, int64_t *max_us);

void bb_sessions_delete(struct bb_sessions *s);

#endif
