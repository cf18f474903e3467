# Completion of briarctl for bash.

_briarctl()
{
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]} command=${COMP_WORDS[1]}
    local -A options=(
        [check]='--settings --in-force --json --help'
        [apply]='--team --based-on --replace --wait --instances --store --timeout --json --help'
        [show]='--team --store --json --help'
        [status]='--instances --watch --store --timeout --json --help'
        [dump]='--instances --timeout --json --help'
        [drain]='--team --wait --instances --store --timeout --json --help'
        [undrain]='--team --wait --instances --store --timeout --json --help'
        [explain]='--request --worst --json --help'
        [settings-reference]='--help'
        [configuration-reference]='--help'
    )
    COMPREPLY=()
    if [ "$COMP_CWORD" -eq 1 ]; then
        mapfile -t COMPREPLY < <(compgen -W "${!options[*]} --help" -- "$current")
        return
    fi
    case $previous in
    --in-force)
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
        ;;
    --team | --based-on | --instances | --request | --store | --timeout)
        return
        ;;
    esac
    if [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "${options[$command]:-}" -- "$current")
        return
    fi
    case $command in
    check | apply | explain)
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        ;;
    esac
}

complete -o filenames -F _briarctl briarctl
