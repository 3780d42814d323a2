#include "libnode/explain.h"

#include <string.h>

static json_t *explain_account(const struct bb_snapshot *s,
			       struct bb_request_history *history,
			       const char *name)
{
	const struct bb_config *c = s->config;
	uint32_t i = bb_config_find_account(c, name, strlen(name));
	const struct bb_account *a;

	if (i == BB_NO_ROW)
		return NULL;
	a = &c->accounts[i];
	return json_pack("{s:s, s:I, s:f, s:f, s:f, s:o}", "account", a->name,
			 "config_version", (json_int_t)c->version, "rate_per_s",
			 a->rate_per_s, "burst", a->burst, "weight", a->weight,
			 "recent_refusals",
			 bb_request_history_count(history, name));
}

static json_t *explain_backend(const struct bb_snapshot *s, const char *name)
{
	const struct bb_config *c = s->config;
	uint32_t i = bb_config_find_backend(c, name, strlen(name));
	const struct bb_backend *b;

	if (i == BB_NO_ROW)
		return NULL;
	b = &c->backends[i];
	return json_pack("{s:s, s:I, s:s, s:s, s:f, s:i, s:i, s:s, s:b}",
			 "backend", b->name, "config_version",
			 (json_int_t)c->version, "host", c->hosts[b->host].name,
			 "service", c->services[b->service].name, "weight",
			 b->weight, "slots", (int)b->slots, "max_connections",
			 (int)b->max_connections, "configured_state",
			 bb_backend_state_string[b->state], "adjacent",
			 b->host == s->self);
}

char *bb_explain(const struct bb_snapshot *snapshot,
		 struct bb_request_history *history, const char *key,
		 const char *value)
{
	json_t *o = NULL;
	char *text;

	if (!key || !value)
		return NULL;
	if (!strcmp(key, "request"))
		o = bb_request_history_find(history, value);
	else if (snapshot && !strcmp(key, "account"))
		o = explain_account(snapshot, history, value);
	else if (snapshot && !strcmp(key, "backend"))
		o = explain_backend(snapshot, value);
	if (!o)
		return NULL;
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}
