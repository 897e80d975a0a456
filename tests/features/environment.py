"""Hooks of behave: one deployment serves all scenarios."""

from peridotyard_cli import local

from tests.support import acceptance


def before_all(context):
    context.deployment = local.Deployment()
    for plan in context.deployment.plans:
        if plan.role == "entry":
            # On a busy machine the last of 200 streams waits for its first
            # token for longer than the default of 10 s, and the entry would
            # refuse it as overloaded.
            sections = plan.sections.setdefault("streams", {})
            sections["first_token_s"] = acceptance.TIMEOUT_S
    context.deployment.start()


def after_all(context):
    if hasattr(context, "deployment"):
        context.deployment.stop()


def before_scenario(context, scenario):
    # Restarts processes that the scenario before has stopped.
    acceptance.restore_deployment(context.deployment)


def after_scenario(context, scenario):
    if scenario.status == "failed":
        for name in context.deployment.collect_unexpected_exits():
            print(context.deployment.describe_exit(name))
