#include "baobabward/dialect.h"

const struct bb_dialect bb_dialect_default = {
	.api_key = "Authorization",
	.bearer_key = true,
	.account = "Client-Account",
	.deadline = "Baobabward-Deadline-Ms",
};
